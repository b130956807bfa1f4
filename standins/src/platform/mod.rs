//! The HTTP platform of `parsleybeam-platform`: its key-value service, its replicas and its
//! callers, as its protocol specification describes them.

pub mod caller;
pub mod endless;
pub mod payload;
pub mod replica;
pub mod store;

use std::io::{self, BufRead};

/// Headers of a message, with names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Reads header lines up to the empty line.
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

    /// Returns the value of a header, given its name in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// Returns the content length in bytes; zero if it is absent or malformed.
    fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}
