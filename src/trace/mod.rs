//! Distributed tracing with W3C trace context; each hop has a span.
//!
//! Spans are created with `tracing` and recorded by OpenTelemetry. An ended span
//! is written to the log as event 106, so that a request can be followed across
//! VMs without a trace collector.

mod export;

use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;
use slog::Logger;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::layer::SubscriberExt;

/// Header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Installs tracing for this process; further calls have no effect.
pub fn install(log: &Logger) {
    let exporter = export::Exporter::new(log.clone());
    let provider = SdkTracerProvider::builder().with_simple_exporter(exporter).build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("parsleybeam"));
    let subscriber = tracing_subscriber::registry().with(layer);
    // If several VMs run in one process, the log of the first receives all spans.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Makes `span` a child of the span in a caller's `traceparent` header.
pub fn set_parent(span: &Span, traceparent: Option<&str>) {
    let Some(traceparent) = traceparent else { return };
    let context = TraceContextPropagator::new().extract(&SingleHeader(traceparent));
    let _ = span.set_parent(context);
}

/// Returns the `traceparent` header value for `span`; `None` if tracing isn't installed.
pub fn traceparent(span: &Span) -> Option<String> {
    let mut carrier = Carrier(None);
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.0
}

/// Extracts the trace context from a single header value.
struct SingleHeader<'a>(&'a str);

impl Extractor for SingleHeader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        (key == TRACEPARENT).then_some(self.0)
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT]
    }
}

struct Carrier(Option<String>);

impl Injector for Carrier {
    fn set(&mut self, key: &str, value: String) {
        if key == TRACEPARENT {
            self.0 = Some(value);
        }
    }
}
