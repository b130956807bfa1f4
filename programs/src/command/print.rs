//! Output formats: tables and JSON.

use serde::Serialize;

use super::Failure;

/// Output format of a subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Aligned columns.
    Table,
    /// Indented JSON.
    Json,
}

impl Format {
    /// Parses the value of `--output`; a table is the default.
    pub fn parse(option: &Option<String>) -> Result<Self, Failure> {
        match option.as_deref() {
            None | Some("table") => Ok(Format::Table),
            Some("json") => Ok(Format::Json),
            Some(other) => {
                Err(Failure::Input(format!("--output: {other:?} is not one of table, json")))
            }
        }
    }
}

/// Prints a value as indented JSON.
pub fn json<T>(value: &T)
where
    T: Serialize,
{
    println!("{}", serde_json::to_string_pretty(value).expect("the value serializes to JSON"));
}

/// Formats rows as aligned columns under a heading.
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
