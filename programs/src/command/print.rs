//! Tables and JSON on standard output.

use serde::Serialize;

use super::Failure;

/// How answers are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Columns for people.
    Table,
    /// JSON for programs.
    Json,
}

impl Format {
    /// Reads the option.
    pub fn read(option: &Option<String>) -> Result<Self, Failure> {
        match option.as_deref() {
            None | Some("table") => Ok(Format::Table),
            Some("json") => Ok(Format::Json),
            Some(other) => Err(Failure::Input(format!("--output: {other:?} is not table or json"))),
        }
    }
}

/// Prints JSON over several lines.
pub fn json<T>(value: &T)
where
    T: Serialize,
{
    println!("{}", serde_json::to_string_pretty(value).expect("plain data becomes JSON"));
}

/// Lays out rows in columns under a heading.
pub fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let heading: Vec<String> = heading.iter().map(|cell| (*cell).to_owned()).collect();
    let all = || std::iter::once(&heading).chain(rows);
    let width = |column: usize| all().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    all().map(line).collect::<Vec<_>>().join("\n")
}
