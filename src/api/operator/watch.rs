//! Watch responses as newline-delimited JSON.

use actix_web::HttpResponse;
use actix_web::web::Bytes;
use futures_util::stream;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::control::{Resource, Update};
use crate::error::Error;

/// Media type of a watch response.
const NDJSON: &str = "application/x-ndjson";

/// A line of a watch response.
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "lowercase")]
enum Line<'a> {
    Changed { resource: &'a Resource },
    Deleted { resource: &'a Resource },
    Bookmark { version: u64 },
}

/// Streams updates until either side closes.
pub(super) fn answer(updates: mpsc::Receiver<Update>) -> HttpResponse {
    let lines = stream::unfold(updates, |mut updates| async move {
        let update = updates.recv().await?;
        Some((Ok::<Bytes, Error>(line(&update)), updates))
    });
    HttpResponse::Ok().content_type(NDJSON).streaming(lines)
}

fn line(update: &Update) -> Bytes {
    let line = match update {
        Update::Changed(resource) if resource.spec.is_some() => Line::Changed { resource },
        Update::Changed(resource) => Line::Deleted { resource },
        Update::Bookmark(version) => Line::Bookmark { version: *version },
    };
    let mut text = serde_json::to_string(&line).expect("a watch line serializes to JSON");
    text.push('\n');
    text.into()
}
