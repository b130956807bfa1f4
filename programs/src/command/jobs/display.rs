//! Display of a job's progress: a progress bar on a terminal, else plain lines.

use std::io::IsTerminal;

use indicatif::{ProgressBar, ProgressStyle};
use parsleybeam::batch::{Phase, Progress};

/// Displays the progress of a job.
pub struct Display {
    bar: Option<ProgressBar>,
    last_line: String,
}

impl Display {
    /// Creates a display; it has a progress bar if standard output is a terminal.
    pub fn new() -> Self {
        let bar = std::io::stdout().is_terminal().then(|| {
            let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
            let style = style.unwrap_or_else(|_| ProgressStyle::default_bar());
            ProgressBar::new(0).with_style(style)
        });
        Self { bar, last_line: String::new() }
    }

    /// Updates the bar, or prints a line if the line differs from the last one printed.
    pub fn show(&mut self, job: &Progress) {
        if let Some(bar) = &self.bar {
            bar.set_length(job.total.into());
            bar.set_position(ended_items(job).into());
            bar.set_message(job.name.clone());
            return;
        }
        let line = line(job);
        if line != self.last_line {
            println!("{line}");
            self.last_line = line;
        }
    }

    /// Removes the bar and prints the final state in its place.
    pub fn finish(&self, job: &Progress) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
            println!("{}", line(job));
        }
    }
}

/// Formats a job's progress as one line.
pub fn line(job: &Progress) -> String {
    let phase = match job.phase {
        Phase::Running => "running",
        Phase::Finished => "finished",
        Phase::Cancelled => "cancelled",
        Phase::Expired => "expired",
    };
    format!(
        "{} {phase} {}/{} succeeded={} failed={} unknown={} cancelled={} running={}",
        job.name,
        ended_items(job),
        job.total,
        job.succeeded,
        job.failed,
        job.unknown,
        job.cancelled,
        job.running
    )
}

fn ended_items(job: &Progress) -> u32 {
    job.succeeded + job.failed + job.unknown + job.cancelled
}
