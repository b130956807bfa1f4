//! Operators' credentials, kept apart from callers' keys.

use actix_web::HttpRequest;
use actix_web::http::header;
use actix_web::web::Data;
use sha2::{Digest, Sha256};

use crate::error::{Error, Kind, Result};

/// SHA-256 of each operator's credential, in hexadecimal.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    digests: Vec<String>,
}

impl Credentials {
    /// Takes the digests from the settings.
    pub fn new(digests: &[String]) -> Self {
        Self { digests: digests.iter().map(|digest| digest.to_ascii_lowercase()).collect() }
    }

    fn hold(&self, credential: &str) -> bool {
        let digest = Sha256::digest(credential.as_bytes());
        let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        self.digests.contains(&digest)
    }
}

/// Refuses a request without an operator's credential.
pub fn check(request: &HttpRequest) -> Result<()> {
    let value = request.headers().get(header::AUTHORIZATION);
    let Some(credential) =
        value.and_then(|value| value.to_str().ok()).and_then(|value| value.strip_prefix("Bearer "))
    else {
        return Err(Error::new(Kind::KeyMissing, "an operator's credential is needed"));
    };
    let known = request.app_data::<Data<Credentials>>();
    if known.is_some_and(|known| known.hold(credential.trim())) {
        return Ok(());
    }
    Err(Error::new(Kind::Forbidden, "this credential is no operator's"))
}
