//! Span exporter that writes to the log.

use std::time::SystemTime;

use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use slog::Logger;

use crate::emit;
use crate::event::Event;

/// Writes ended spans to the process's log.
#[derive(Debug)]
pub(super) struct Exporter {
    log: Logger,
}

impl Exporter {
    pub(super) fn new(log: Logger) -> Self {
        Self { log }
    }

    fn write(&self, span: &SpanData) {
        let attributes: Vec<String> =
            span.attributes.iter().map(|pair| format!("{}={}", pair.key, pair.value)).collect();
        emit!(self.log, Event::SpanEnded,
            "span" => span.name.to_string(),
            "trace" => span.span_context.trace_id().to_string(),
            "id" => span.span_context.span_id().to_string(),
            "parent" => span.parent_span_id.to_string(),
            "micros" => micros(span.start_time, span.end_time),
            "attributes" => attributes.join(" "),
        );
    }
}

impl SpanExporter for Exporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        batch.iter().for_each(|span| self.write(span));
        Ok(())
    }
}

fn micros(start: SystemTime, end: SystemTime) -> u64 {
    end.duration_since(start).map_or(0, |span| span.as_micros() as u64)
}
