//! The users' new machines: their key-value service and their replicas, as
//! their protocol page describes them.

pub mod caller;
pub mod payload;
pub mod replica;
pub mod store;

use std::io::{self, BufRead};

/// Headers of a message, names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Reads lines up to the empty one that ends them.
    fn read<R>(reader: &mut R) -> io::Result<Self>
    where
        R: BufRead,
    {
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                return Ok(Self(headers));
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// A header's value.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(one, _)| one == name).map(|(_, value)| value.as_str())
    }

    /// The length that the message names, in bytes.
    fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}
