//! Error responses in the problem+json format.

use actix_web::http::{StatusCode, header};
use actix_web::{HttpResponse, ResponseError};
use serde::{Deserialize, Serialize};

use super::Error;

/// Media type of an error response.
const PROBLEM_JSON: &str = "application/problem+json";

/// Body of an error response (RFC 9457).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// URN that ends in the code of the error's kind.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short human-readable summary of the kind.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Description of this error.
    pub detail: String,
    /// Whether the request ran: `not-run`, `unknown` or `ran`.
    pub run: String,
    /// Recommended delay before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl From<&Error> for Problem {
    fn from(error: &Error) -> Self {
        let answer = error.answer();
        Self {
            kind: format!("urn:parsleybeam:error:{}", answer.code),
            title: answer.title.into(),
            status: answer.status,
            detail: error.detail.clone(),
            run: answer.run.as_str().into(),
            retry_after_ms: error.retry_after.map(|span| span.as_millis() as u64),
        }
    }
}

impl ResponseError for Error {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        response.insert_header((header::CONTENT_TYPE, PROBLEM_JSON));
        if let Some(span) = self.retry_after {
            // Retry-After has whole seconds; rounded up so that callers don't retry too early.
            let seconds = span.as_millis().div_ceil(1_000).max(1);
            response.insert_header((header::RETRY_AFTER, seconds.to_string()));
        }
        if self.answer().status == 401 {
            response.insert_header((header::WWW_AUTHENTICATE, "Bearer"));
        }
        response.json(Problem::from(self))
    }
}
