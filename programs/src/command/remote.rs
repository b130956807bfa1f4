//! Calling the resource API from the command line.

use std::time::Duration;

use awc::http::{Method, header};
use futures_util::StreamExt;
use parsleybeam::error::Problem;
use serde::de::DeserializeOwned;

use super::Failure;

/// Bound on one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Variable that gives the address where no option does.
const SERVER_VARIABLE: &str = "PARSLEYBEAM_SERVER";
/// Variable that gives the credential where no option does.
const CREDENTIAL_VARIABLE: &str = "PARSLEYBEAM_CREDENTIAL";

/// Declares a verb's arguments with the options that all verbs share.
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
                $crate::command::print::Format::read(&self.output)
            }
        }
    };
}
pub(super) use arguments;

/// An entry VM and what proves the operator to it.
pub struct Remote {
    server: String,
    credential: String,
}

impl Remote {
    /// Takes the options or, without them, the environment.
    pub fn new(server: &Option<String>, credential: &Option<String>) -> Result<Self, Failure> {
        let server = given(server, SERVER_VARIABLE)
            .ok_or_else(|| Failure::Input(format!("give --server or set {SERVER_VARIABLE}")))?;
        let credential = given(credential, CREDENTIAL_VARIABLE).unwrap_or_default();
        Ok(Self { server, credential })
    }

    /// Reads a JSON answer.
    pub async fn get<A>(&self, path: &str) -> Result<A, Failure>
    where
        A: DeserializeOwned,
    {
        self.call(Method::GET, path, String::new(), None).await.map(|(_, answer)| answer)
    }

    /// Calls and reads status and answer; `version` is what the resource must
    /// stand at.
    pub async fn call<A>(
        &self,
        method: Method,
        path: &str,
        body: String,
        version: Option<u64>,
    ) -> Result<(u16, A), Failure>
    where
        A: DeserializeOwned,
    {
        let mut request = self.request(method, path, Some(CALL_TIMEOUT));
        if let Some(version) = version {
            request = request.insert_header((header::IF_MATCH, format!("\"{version}\"")));
        }
        let mut answer = request.send_body(body).await?;
        let status = answer.status().as_u16();
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| Failure::Unreachable(error.to_string()))?;
        if !answer.status().is_success() {
            return Err(refusal(status, &body));
        }
        let answer = serde_json::from_slice(&body)
            .map_err(|error| Failure::Refused(format!("answer can't be read: {error}")))?;
        Ok((status, answer))
    }

    /// Reads lines until the server ends or `line` says that it is enough.
    pub async fn lines<F>(&self, path: &str, mut line: F) -> Result<(), Failure>
    where
        F: FnMut(&str) -> bool,
    {
        let mut answer = self.request(Method::GET, path, None).send().await?;
        let status = answer.status();
        if !status.is_success() {
            let body = answer.body().await.unwrap_or_default();
            return Err(refusal(status.as_u16(), &body));
        }
        let mut buffer = Vec::new();
        while let Some(piece) = answer.next().await {
            let piece = piece.map_err(|error| Failure::Unreachable(error.to_string()))?;
            buffer.extend_from_slice(&piece);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let text: Vec<u8> = buffer.drain(..=end).collect();
                if !line(String::from_utf8_lossy(&text).trim_end()) {
                    return Ok(());
                }
            }
        }
        Err(Failure::Unreachable("the server ended the watch".into()))
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

fn given(option: &Option<String>, variable: &str) -> Option<String> {
    option.clone().or_else(|| std::env::var(variable).ok()).filter(|text| !text.is_empty())
}

fn refusal(status: u16, body: &[u8]) -> Failure {
    match serde_json::from_slice::<Problem>(body) {
        // What breaks a rule is the operator's input.
        Ok(problem) if matches!(status, 400 | 413 | 422) => Failure::Input(problem.detail),
        Ok(problem) => Failure::Refused(format!("{}: {}", problem.title, problem.detail)),
        Err(_) => Failure::Refused(format!("the server answered {status}")),
    }
}
