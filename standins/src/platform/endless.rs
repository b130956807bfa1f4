//! Answers without end, in each part of an answer.

use std::io::{self, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Where an answer has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// In the status line.
    StatusLine,
    /// In one header line.
    HeaderLine,
    /// Ever more header lines.
    Headers,
    /// Ever more interim answers.
    Interim,
    /// A byte of a header line now and then.
    HeadTrickle,
    /// An interim answer now and then.
    InterimTrickle,
    /// In the line of an event, after the head.
    EventLine,
    /// Ever more empty lines, after the head.
    EmptyLines,
    /// Ever more comments, after the head.
    Comments,
    /// A byte of a comment now and then, after the head.
    Trickle,
    /// A byte of a comment now and then, after two whole events.
    LateTrickle,
    /// In the size of a chunk, after the head.
    ChunkSize,
    /// A digit of the size of a chunk now and then, after the head.
    ChunkSizeTrickle,
    /// In the extension of a chunk, after the head.
    ChunkExtension,
    /// Ever more trailers, after the last chunk.
    Trailers,
    /// The body of an answer that isn't a stream.
    Whole,
    /// A byte of the body of an answer that isn't a stream now and then.
    WholeTrickle,
    /// The body of an answer with status 500.
    Error,
    /// The body of an answer that says that the request wasn't executed.
    Refusal,
}

/// Pause between two bytes of an answer that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);

impl Endless {
    /// The head; empty if the answer has no end in it. `words` are more header lines.
    fn head(self, request_id: &str, words: &str) -> String {
        let (status, more) = match self {
            Endless::StatusLine
            | Endless::HeaderLine
            | Endless::Headers
            | Endless::Interim
            | Endless::HeadTrickle
            | Endless::InterimTrickle => return String::new(),
            Endless::Whole | Endless::WholeTrickle => (200, "content-type: application/json\r\n"),
            Endless::Error => (500, ""),
            Endless::Refusal => (503, "parsleybeam-not-executed: 1\r\n"),
            _ => (200, "content-type: text/event-stream\r\n"),
        };
        format!(
            "HTTP/1.1 {status} X\r\nparsleybeam-request-id: {request_id}\r\n{words}{more}\
             transfer-encoding: chunked\r\n\r\n"
        )
    }

    /// What comes first, after the head if there is one.
    fn begin(self) -> String {
        match self {
            Endless::StatusLine => "HTTP/1.1 200 ".to_owned(),
            Endless::HeaderLine | Endless::HeadTrickle => "HTTP/1.1 200 OK\r\nx-long: ".to_owned(),
            Endless::Headers => "HTTP/1.1 200 OK\r\n".to_owned(),
            Endless::EventLine => chunk("id: 1\ndata: "),
            Endless::Trickle => chunk(": "),
            Endless::LateTrickle => {
                chunk("id: 1\ndata: event 1\n\n") + &chunk("id: 2\ndata: event 2\n\n: ")
            }
            Endless::ChunkExtension => "5;".to_owned(),
            Endless::Trailers => "0\r\n".to_owned(),
            _ => String::new(),
        }
    }

    /// What comes again and again.
    fn repeated(self) -> String {
        match self {
            Endless::StatusLine | Endless::HeaderLine | Endless::ChunkExtension => {
                "x".repeat(4_096)
            }
            Endless::Headers | Endless::Trailers => "x-more: 1\r\n".repeat(100),
            Endless::Interim => "HTTP/1.1 102 Processing\r\n\r\n".repeat(100),
            Endless::InterimTrickle => "HTTP/1.1 102 Processing\r\n\r\n".to_owned(),
            Endless::HeadTrickle => "x".to_owned(),
            Endless::EmptyLines => chunk(&"\r\n".repeat(2_048)),
            Endless::Comments => chunk(&": x\n".repeat(1_024)),
            Endless::ChunkSize => "0".repeat(4_096),
            Endless::ChunkSizeTrickle => "0".to_owned(),
            Endless::Trickle | Endless::LateTrickle | Endless::WholeTrickle => chunk("x"),
            Endless::EventLine | Endless::Whole | Endless::Error | Endless::Refusal => {
                chunk(&"x".repeat(4_096))
            }
        }
    }

    fn trickles(self) -> bool {
        matches!(
            self,
            Endless::HeadTrickle
                | Endless::InterimTrickle
                | Endless::Trickle
                | Endless::LateTrickle
                | Endless::ChunkSizeTrickle
                | Endless::WholeTrickle
        )
    }

    /// Sends the answer until the connection is closed.
    pub(super) fn send(
        self,
        out: &mut TcpStream,
        request_id: &str,
        words: &str,
    ) -> io::Result<bool> {
        out.write_all((self.head(request_id, words) + &self.begin()).as_bytes())?;
        let repeated = self.repeated();
        loop {
            out.write_all(repeated.as_bytes())?;
            if self.trickles() {
                thread::sleep(TRICKLE_PAUSE);
            }
        }
    }
}

/// Encodes one chunk of a body.
pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
