//! Traces: a span for each hop, in W3C trace context.
//!
//! Spans are made with `tracing` and kept by OpenTelemetry. An ended span is
//! written to the log as event 106, so that a fleet without a collector can
//! still follow a request from VM to VM.

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

/// Starts tracing for this process; a second call changes nothing.
pub fn install(log: &Logger) {
    let exporter = export::Exporter::new(log.clone());
    let provider = SdkTracerProvider::builder().with_simple_exporter(exporter).build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("parsleybeam"));
    let subscriber = tracing_subscriber::registry().with(layer);
    // Embedded VMs share one process; the first one's log gets all spans.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Makes `span` a child of the trace that a caller's header names.
pub fn set_parent(span: &Span, traceparent: Option<&str>) {
    let Some(traceparent) = traceparent else { return };
    let context = TraceContextPropagator::new().extract(&Single(traceparent));
    let _ = span.set_parent(context);
}

/// The header that passes `span` on; `None` while tracing isn't installed.
pub fn traceparent(span: &Span) -> Option<String> {
    let mut carrier = Carrier(None);
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.0
}

/// Reads the one header there is.
struct Single<'a>(&'a str);

impl Extractor for Single<'_> {
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
