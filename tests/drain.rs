//! Tests of the schedule of a graceful shutdown.

use std::time::Duration;

use parsleybeam::api::entries::MAX_LIFETIME_MS;
use parsleybeam::clock::Time;
use parsleybeam::drain::Schedule;

#[test]
fn schedule_outlasts_every_answer() {
    let now = Time::from_millis(5_000);
    let schedule = Schedule::new(false, now);
    // The last answer that lists this VM comes from the VM that learns last that it is leaving.
    let last_informed = now.after(Duration::from_secs(3));
    assert!(schedule.end >= last_informed.after(Duration::from_millis(MAX_LIFETIME_MS)));
    assert!(schedule.close > now && schedule.close < schedule.end);
}

#[test]
fn schedule_alone_ends_at_once() {
    let now = Time::from_millis(5_000);
    assert_eq!(Schedule::new(true, now).end, now);
}
