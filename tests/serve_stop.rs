//! What a VM accepts while it stops: it fits into what is left.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::serve::stop::Stop;

/// Times from the signal to the SIGKILL, in milliseconds; the deployments have 8,000.
const GRACES_MS: [u64; 5] = [1_000, 2_000, 4_000, 8_000, 30_000];
/// Limits of callers and routes, in milliseconds.
const LIMITS_MS: [u64; 6] = [200, 1_000, 2_500, 5_000, 8_000, 60_000];
/// Time after the signal until which the users' pages let a request be cut whose upstream is
/// still at work in the last sixth of the grace.
const MAY_BE_CUT_MS: u64 = 3_000;
/// When the signal comes.
const SIGNAL: Time = Time(5_000_000);

fn after(ms: u64) -> Time {
    SIGNAL.after(Duration::from_millis(ms))
}

fn stop(grace_ms: u64) -> Stop {
    Stop::new(SIGNAL, Duration::from_millis(grace_ms))
}

/// When a request with this limit is accepted last, in milliseconds after the signal.
fn accepted_last(grace_ms: u64, limit_ms: u64) -> Option<u64> {
    let accepts = |at: &u64| stop(grace_ms).accepts(after(at + limit_ms), after(*at));
    (0..grace_ms).rev().find(accepts)
}

/// Guards against requests that are accepted though they may last longer than the process: last
/// acceptance, limit and margin add up to at most the grace.
#[test]
fn acceptance_limit_and_margin_fit_into_the_grace() {
    for grace_ms in GRACES_MS {
        let margin_ms = stop(grace_ms).end.until(after(grace_ms)).as_millis() as u64;
        assert!(margin_ms >= grace_ms.min(4_800) / 12, "{grace_ms}: {margin_ms} before SIGKILL");
        for limit_ms in LIMITS_MS {
            let Some(last_ms) = accepted_last(grace_ms, limit_ms) else { continue };
            let any_ms = grace_ms / 4;
            assert!(
                last_ms + limit_ms + margin_ms <= grace_ms || last_ms < any_ms,
                "{grace_ms}: {limit_ms} accepted at {last_ms}"
            );
        }
    }
}

/// Guards against a cut that callers don't allow for: what may be cut was accepted early, and the
/// process ends in the last sixth of the grace.
#[test]
fn longer_requests_accepted_early_and_cut_late() {
    for grace_ms in GRACES_MS {
        let ends_ms = SIGNAL.until(stop(grace_ms).end).as_millis() as u64;
        assert!(ends_ms * 6 > grace_ms * 5, "{grace_ms}: ends after {ends_ms}");
        for limit_ms in LIMITS_MS {
            let last_ms = accepted_last(grace_ms, limit_ms).unwrap_or(0);
            let may_be_cut = last_ms + limit_ms > ends_ms;
            assert!(!may_be_cut || last_ms < MAY_BE_CUT_MS, "{grace_ms}: {limit_ms}, {last_ms}");
        }
    }
}

/// Guards against refusals that cost callers a try: the deployments' requests are accepted for
/// as long as their limit leaves room, and the short ones for as long as callers hold the address.
#[test]
fn requests_accepted_while_they_fit() {
    assert_eq!(accepted_last(8_000, 5_000), Some(2_600));
    assert_eq!(accepted_last(8_000, 60_000), Some(1_999));
    assert_eq!(accepted_last(8_000, 1_000), Some(3_999));
    assert_eq!(accepted_last(4_000, 5_000), Some(999));
}
