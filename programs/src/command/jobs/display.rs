//! A job's progress: a bar on a terminal, plain lines elsewhere.

use std::io::IsTerminal;

use indicatif::{ProgressBar, ProgressStyle};
use parsleybeam::batch::{Phase, Progress};

/// Shows progress as it changes.
pub struct Display {
    bar: Option<ProgressBar>,
    shown: String,
}

impl Display {
    /// Chooses bar or lines by what standard output is.
    pub fn new() -> Self {
        let bar = std::io::stdout().is_terminal().then(|| {
            let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}");
            let style = style.unwrap_or_else(|_| ProgressStyle::default_bar());
            ProgressBar::new(0).with_style(style)
        });
        Self { bar, shown: String::new() }
    }

    /// Shows the job if it changed.
    pub fn show(&mut self, job: &Progress) {
        if let Some(bar) = &self.bar {
            bar.set_length(job.total.into());
            bar.set_position(complete(job).into());
            bar.set_message(job.name.clone());
            return;
        }
        let line = line(job);
        if line != self.shown {
            println!("{line}");
            self.shown = line;
        }
    }

    /// Shows how the job ended.
    pub fn end(&self, job: &Progress) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
            println!("{}", line(job));
        }
    }
}

/// One line about a job.
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
        complete(job),
        job.total,
        job.succeeded,
        job.failed,
        job.unknown,
        job.cancelled,
        job.running
    )
}

fn complete(job: &Progress) -> u32 {
    job.succeeded + job.failed + job.unknown + job.cancelled
}
