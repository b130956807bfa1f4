//! HTTP client of the resource API.

use std::time::Duration;

use awc::http::{Method, header};
use futures_util::StreamExt;
use parsleybeam::error::Problem;
use serde::de::DeserializeOwned;

use super::Failure;

/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Environment variable that gives the address if `--server` is not set.
const SERVER_VARIABLE: &str = "PARSLEYBEAM_SERVER";
/// Environment variable that gives the credential if `--credential` is not set.
const CREDENTIAL_VARIABLE: &str = "PARSLEYBEAM_CREDENTIAL";

/// Declares the arguments of a subcommand that calls the resource API, with the
/// options common to all of these.
macro_rules! arguments {
    ($(#[$meta:meta])* { $($fields:tt)* }) => {
        $(#[$meta])*
        #[derive(Debug, gumdrop::Options)]
        pub struct Arguments {
            #[options(help = "print this help")]
            help: bool,
            #[options(help = "address of an entry VM (or PARSLEYBEAM_SERVER)", meta = "IP:PORT")]
            server: Option<String>,
            #[options(help = "operator's credential (or PARSLEYBEAM_CREDENTIAL)", meta = "TEXT")]
            credential: Option<String>,
            #[options(help = "table or json (default table)", meta = "FORMAT")]
            output: Option<String>,
            $($fields)*
        }

        impl Arguments {
            fn remote(&self) -> Result<$crate::command::remote::Remote, $crate::command::Failure> {
                $crate::command::remote::Remote::new(&self.server, &self.credential)
            }

            #[allow(dead_code)]
            fn format(&self) -> Result<$crate::command::print::Format, $crate::command::Failure> {
                $crate::command::print::Format::parse(&self.output)
            }
        }
    };
}
pub(super) use arguments;

/// Client of the resource API of one entry VM.
pub struct Remote {
    server: String,
    credential: String,
}

impl Remote {
    /// Creates a client from the options, or from the environment where an option is
    /// not set.
    pub fn new(server: &Option<String>, credential: &Option<String>) -> Result<Self, Failure> {
        let server = option_or_env(server, SERVER_VARIABLE)
            .ok_or_else(|| Failure::Input(format!("set --server or {SERVER_VARIABLE}")))?;
        let credential = option_or_env(credential, CREDENTIAL_VARIABLE).unwrap_or_default();
        Ok(Self { server, credential })
    }

    /// Sends a GET request and decodes the JSON response.
    pub async fn get<T>(&self, path: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        self.call(Method::GET, path, String::new(), None).await.map(|(_, response)| response)
    }

    /// Sends a request and returns the status and the decoded JSON response. The
    /// server refuses it unless `version`, if given, is the resource's current one.
    pub async fn call<T>(
        &self,
        method: Method,
        path: &str,
        body: String,
        version: Option<u64>,
    ) -> Result<(u16, T), Failure>
    where
        T: DeserializeOwned,
    {
        let mut request = self.request(method, path, Some(CALL_TIMEOUT));
        if let Some(version) = version {
            request = request.insert_header((header::IF_MATCH, format!("\"{version}\"")));
        }
        let mut response = request.send_body(body).await?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| Failure::Unreachable(error.to_string()))?;
        if !response.status().is_success() {
            return Err(response_failure(status, &body));
        }
        let response = serde_json::from_slice(&body)
            .map_err(|error| Failure::Refused(format!("cannot decode the response: {error}")))?;
        Ok((status, response))
    }

    /// Streams the lines of a response to `on_line` until that returns false. It is an
    /// error if the server ends the stream first.
    pub async fn read_lines<F>(&self, path: &str, mut on_line: F) -> Result<(), Failure>
    where
        F: FnMut(&str) -> bool,
    {
        let mut response = self.request(Method::GET, path, None).send().await?;
        let status = response.status();
        if !status.is_success() {
            let body = response.body().await.unwrap_or_default();
            return Err(response_failure(status.as_u16(), &body));
        }
        let mut buffer = Vec::new();
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|error| Failure::Unreachable(error.to_string()))?;
            buffer.extend_from_slice(&chunk);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let text: Vec<u8> = buffer.drain(..=end).collect();
                if !on_line(String::from_utf8_lossy(&text).trim_end()) {
                    return Ok(());
                }
            }
        }
        Err(Failure::Unreachable("the server closed the watch stream".into()))
    }

    fn request(&self, method: Method, path: &str, timeout: Option<Duration>) -> awc::ClientRequest {
        let builder = awc::Client::builder();
        let client = match timeout {
            Some(timeout) => builder.timeout(timeout),
            None => builder.disable_timeout(),
        };
        client
            .finish()
            .request(method, format!("http://{}{path}", self.server))
            .insert_header((header::CONTENT_TYPE, "application/json"))
            .insert_header((header::AUTHORIZATION, format!("Bearer {}", self.credential)))
    }
}

fn option_or_env(option: &Option<String>, variable: &str) -> Option<String> {
    option.clone().or_else(|| std::env::var(variable).ok()).filter(|text| !text.is_empty())
}

fn response_failure(status: u16, body: &[u8]) -> Failure {
    match serde_json::from_slice::<Problem>(body) {
        // The request itself is invalid, so the operator's input is at fault.
        Ok(problem) if matches!(status, 400 | 413 | 422) => Failure::Input(problem.detail),
        Ok(problem) => Failure::Refused(format!("{}: {}", problem.title, problem.detail)),
        Err(_) => Failure::Refused(format!("the server responded with status {status}")),
    }
}
