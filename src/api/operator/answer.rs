//! Responses of the resource API.

use actix_web::http::header;
use actix_web::{HttpResponse, HttpResponseBuilder};
use serde::{Deserialize, Serialize};

use crate::control::{Resource, Written};

/// Resources of a kind at one version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Version to watch from.
    pub version: u64,
    /// Resources, ordered by name.
    pub items: Vec<Resource>,
}

/// Builds a response with a resource and its version as entity tag.
pub(super) fn resource(mut builder: HttpResponseBuilder, resource: Resource) -> HttpResponse {
    let tag = header::EntityTag::new_strong(resource.version.to_string());
    builder.insert_header(header::ETag(tag));
    builder.json(resource)
}

/// Builds the response to a write: 200 if it is accepted, 202 if it is only stored.
pub(super) fn written(written: Written) -> HttpResponse {
    let builder = if written.accepted { HttpResponse::Ok() } else { HttpResponse::Accepted() };
    resource(builder, written.resource)
}
