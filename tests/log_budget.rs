//! Rate limit and queue of the log.

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant};

use parsleybeam::clock::Time;
use parsleybeam::emit;
use parsleybeam::event::Event;
use parsleybeam::log::queue::{MAX_BYTES, Queue};
use parsleybeam::log::rate_limit::{TokenBucket, Verdict};
use parsleybeam::{log, settings};
use standins::log::Buffer;

const RATE: u32 = 100;

fn at(millis: u64) -> Time {
    Time(0).after(Duration::from_millis(millis))
}

#[test]
fn admit_routine_lines_dropped_first() {
    let mut bucket = TokenBucket::new(RATE, at(0));
    let kept = (0..1_000).filter(|_| bucket.admit(|| true, at(0)) == Verdict::Keep).count();
    assert_eq!(kept, 100, "routine lines must get half of the burst of 200");
    let kept = (0..1_000).filter(|_| bucket.admit(|| false, at(0)) == Verdict::Keep).count();
    assert!((99..=100).contains(&kept), "other lines must get the other half: {kept}");
}

#[test]
fn admit_dropped_lines_are_reported() {
    let mut bucket = TokenBucket::new(RATE, at(0));
    let dropped =
        (0..1_000).filter(|_| bucket.admit(|| false, at(0)) == Verdict::Drop).count() as u64;
    assert_eq!(
        bucket.admit(|| false, at(500)),
        Verdict::Keep,
        "dropped lines are reported at most once a second"
    );
    assert_eq!(bucket.admit(|| false, at(1_001)), Verdict::Report(dropped));
    assert_eq!(
        bucket.admit(|| false, at(2_100)),
        Verdict::Keep,
        "dropped lines are reported only once"
    );
}

#[test]
fn admit_rate_holds_under_load() {
    let mut bucket = TokenBucket::new(RATE, at(0));
    let lines = (0..10_000).map(|millis| bucket.admit(|| false, at(millis)));
    let kept = lines.filter(|verdict| *verdict != Verdict::Drop).count();
    assert!(kept <= 1_200, "at most 10 s at 100 lines per second, plus the burst: {kept}");
}

#[test]
fn writer_stuck_does_not_block() {
    let stuck = Buffer::blocked();
    let settings = settings::Log { lines_per_s: 100_000, ..settings::Log::default() };
    let logger = log::to_writer(stuck.clone(), &settings);
    let started = Instant::now();
    for _ in 0..20_000 {
        emit!(logger, Event::RequestFailed, "request" => "r");
    }
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "logging blocked for {:?}",
        started.elapsed()
    );
    stuck.release();
    drop(logger);
    let text = stuck.text();
    // One batch was being written while another filled the queue.
    assert!(
        text.len() < 2 * MAX_BYTES,
        "must not exceed the queue and one batch: {} bytes",
        text.len()
    );
    assert!(text.lines().count() < 20_000);
    assert!(text.contains("log lines were dropped"), "dropped lines must be reported");
}

#[test]
fn writer_flooded_rate_limited() {
    let open = Buffer::default();
    let settings = settings::Log { lines_per_s: RATE, ..settings::Log::default() };
    let logger = log::to_writer(open.clone(), &settings);
    for _ in 0..2_000 {
        emit!(logger, Event::RequestServed, "request" => "r");
    }
    emit!(logger, Event::RequestFailed, "request" => "failed");
    drop(logger);
    let text = open.text();
    assert!(text.lines().count() < 300, "lines: {}", text.lines().count());
    assert!(text.contains("failed"), "the line of a failure must be kept");
}

/// Writer that reports the size of each write and blocks until it is released.
struct Sizes {
    sizes: Sender<usize>,
    released: Receiver<()>,
}

impl Write for Sizes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is dropped to release all writes.
        let _ = self.released.recv();
        let _ = self.sizes.send(bytes.len());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines that fill the queue to the last byte leave no room for the report of those that
/// are dropped after them.
#[test]
fn writer_stuck_full_queue_and_report_fit() {
    let (sizes, written) = mpsc::channel();
    let (release, released) = mpsc::channel();
    let mut queue = Queue::start(Sizes { sizes, released });
    let mut line = [b'x'; 64];
    line[63] = b'\n';
    for _ in 0..3 * MAX_BYTES / line.len() {
        queue.write_all(&line).expect("the queue takes every line");
    }
    drop(release);
    drop(queue);
    let sizes: Vec<usize> = written.iter().collect();
    assert!(sizes.iter().all(|size| *size <= MAX_BYTES), "{sizes:?}");
}
