//! Propagation of trace contexts by the `traceparent` header.

use parsleybeam::trace;

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

#[test]
fn traceparent_passed_on() {
    trace::install(&parsleybeam::log::silent());
    let span = tracing::info_span!("entry");
    trace::set_parent(&span, Some(&format!("00-{TRACE}-00f067aa0ba902b7-01")));
    let _entered = span.enter();
    let hop = tracing::info_span!("upstream");
    let header = trace::traceparent(&hop).expect("the span has a context");
    let fields: Vec<&str> = header.split('-').collect();
    assert_eq!(fields[1], TRACE);
    assert_ne!(
        fields[2], "00f067aa0ba902b7",
        "the upstream span must have an identifier of its own"
    );
}

#[test]
fn traceparent_unreadable() {
    trace::install(&parsleybeam::log::silent());
    let span = tracing::info_span!("entry");
    trace::set_parent(&span, Some("not a context"));
    let header = trace::traceparent(&span).expect("the span has a new trace");
    assert!(!header.contains(TRACE));
}
