//! `parsleybeam apply`: writes resources from a file.

use std::path::PathBuf;

use awc::http::Method;
use parsleybeam::config::{Document, read_documents};
use parsleybeam::control::Resource;
use serde_json::json;

use super::print::{self, Format};
use super::remote::{Remote, arguments};
use super::{Failure, path};

/// HTTP status of a write that is stored but not yet in force.
const STORED: u16 = 202;

arguments! {
    /// Writes the resources in a file. The file is JSON with comments and holds one
    /// resource, a list, or an object with `items`. A resource that gives a
    /// `version` is written only if that is still its current version.
    {
        #[options(help = "file of resources", meta = "FILE")]
        file: Option<PathBuf>,
    }
}

/// Writes the resources in order and stops at the first that fails.
pub async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (remote, format) = (arguments.remote()?, arguments.format()?);
    let file =
        arguments.file.as_ref().ok_or_else(|| Failure::Input("-f FILE is required".into()))?;
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::Input(format!("{name}: cannot read the file: {error}")))?;
    for document in read_documents(&name, &text)? {
        let (status, resource) = write(&remote, &document).await?;
        match format {
            Format::Json => print::json(&resource),
            Format::Table => println!("{}", outcome_line(status, &resource)),
        }
    }
    Ok(())
}

async fn write(remote: &Remote, document: &Document) -> Result<(u16, Resource), Failure> {
    let body = json!({ "spec": document.spec }).to_string();
    let path = path(document.kind, &document.name);
    let written = remote.call(Method::PUT, &path, body, document.version).await;
    written.map_err(|failure| failure.with_subject(&format!("{}/{}", document.kind, document.name)))
}

/// Formats the outcome of a write for the table output.
pub fn outcome_line(status: u16, resource: &Resource) -> String {
    let outcome = if status == STORED { "stored, not yet in force" } else { "accepted" };
    format!("{}/{} version {}: {outcome}", resource.kind, resource.name, resource.version)
}
