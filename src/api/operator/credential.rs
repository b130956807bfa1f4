//! Operator credentials, separate from callers' keys.

use actix_web::HttpRequest;
use actix_web::http::header;
use actix_web::web::Data;
use sha2::{Digest, Sha256};

use crate::error::{Error, Kind, Result};

/// SHA-256 digests of the operators' credentials, in hexadecimal.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    digests: Vec<String>,
}

impl Credentials {
    /// Creates the set from digests of the settings.
    pub fn new(digests: &[String]) -> Self {
        Self { digests: digests.iter().map(|digest| digest.to_ascii_lowercase()).collect() }
    }

    fn contains(&self, credential: &str) -> bool {
        let digest = Sha256::digest(credential.as_bytes());
        let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        self.digests.contains(&digest)
    }
}

/// Rejects a request without a valid operator credential.
pub fn check(request: &HttpRequest) -> Result<()> {
    let value = request.headers().get(header::AUTHORIZATION);
    let Some(credential) =
        value.and_then(|value| value.to_str().ok()).and_then(|value| value.strip_prefix("Bearer "))
    else {
        return Err(Error::new(Kind::KeyMissing, "an operator's credential is needed"));
    };
    let credentials = request.app_data::<Data<Credentials>>();
    if credentials.is_some_and(|credentials| credentials.contains(credential.trim())) {
        return Ok(());
    }
    Err(Error::new(Kind::Forbidden, "this credential is no operator's"))
}
