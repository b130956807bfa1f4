//! Plots of curves as SVG files.

use std::path::Path;

use plotters::prelude::*;

use super::Outcome;

const IMAGE_SIZE: (u32, u32) = (900, 500);
const MARGIN: u32 = 20;
const LABEL_AREA: u32 = 50;

/// Writes the curves of an outcome to an SVG file.
pub fn write(
    path: &Path,
    title: &str,
    outcome: &Outcome,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || outcome.curves.iter().flat_map(|curve| &curve.points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", LABEL_AREA / 2))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA + MARGIN)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(outcome.x_label).y_desc(outcome.y_label).draw()?;
    for (number, curve) in outcome.curves.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2)))?
            .label(&curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + MARGIN as i32, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
