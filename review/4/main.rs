//! A machine gets SIGTERM. Requests that it takes from clients between 3 and 4 s later, and
//! that last for over 4 s, are cut off when its process ends.

#[path = "../harness.rs"]
mod harness;

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use harness::http::{Peer, Request};
use harness::{Case, Machine, SIGTERM};

/// Events of a stream, and the pause between two: within the route's 200 ms, 4.4 s in all.
const EVENTS: u64 = 36;
const PAUSE: Duration = Duration::from_millis(122);
/// When requests are sent, after the SIGTERM.
const SENT_AFTER_MS: [u64; 6] = [500, 2_000, 3_200, 3_400, 3_600, 3_800];
/// From then on a request that is cut counts, though its replica is at work to the end.
const COUNTS_FROM_MS: u64 = 3_000;

fn serve(record: &harness::Record, request: &Request, peer: &mut Peer) -> io::Result<bool> {
    let id = request.header("parsleybeam-request-id").to_owned();
    record.line(format!("a replica begins to run {id}"));
    peer.begin_chunks(200, &harness::replica_head(request, "text/event-stream"))?;
    for event in 1..=EVENTS {
        if event > 1 {
            thread::sleep(PAUSE);
        }
        if peer.is_closed() {
            record.line(format!("the run of {id} is dropped before event {event}"));
            return Ok(false);
        }
        peer.chunk(&format!("id: {event}\ndata: event {event}\n\n"))?;
    }
    peer.end_chunks()?;
    record.line(format!("a replica has ended the run of {id}"));
    Ok(true)
}

/// What a client saw of one request.
struct Outcome {
    sent_after_ms: u64,
    took: Duration,
    answer: harness::http::Answer,
}

fn ask(case: &Case, machine: &Machine, sent_after_ms: u64) -> Outcome {
    let id = format!("9c41d07be2a3{sent_after_ms:04}");
    let lines = harness::keyed(
        &id,
        &[
            "Parsleybeam-Model: m",
            "Parsleybeam-Token-Usage: 450,180",
            "Parsleybeam-Prompt-Prefix: 5c1e07a2:200,e4402b7d:250",
            "Parsleybeam-Request-Deadline: 5000",
        ],
    );
    let body = b"grease readings";
    let head = harness::http::head("POST", "/pufi791/2f", harness::HOST, &lines, body);
    case.record.line(format!("a client sends {id} to {}", machine.name));
    let sent = Instant::now();
    let answer = harness::http::call(machine.front, &head, body, Duration::from_secs(5));
    let took = sent.elapsed();
    let events = answer.text().matches("data:").count();
    case.record.line(format!(
        "the client of {id} has after {:.3} s: {}, {events} events",
        took.as_secs_f64(),
        answer.summary()
    ));
    Outcome { sent_after_ms, took, answer }
}

fn main() {
    harness::run("4", |case| {
        let store = case.start_store()?;
        case.put_manifest(
            &store,
            1,
            &["\"name\":\"r-replies\",\"path_prefix\":\"/pufi791/\",\"kind\":\"streaming\",\
             \"timeout_ms\":5000,\"latency_target_ms\":300,\"priority\":0,\"max_attempts\":1,\
             \"sticky\":true,\"resumable\":false,\"gap_target_ms\":200"],
        );
        for number in 1..=9 {
            let record = case.record.clone();
            case.start_replica(&store, number, move |request, peer| serve(&record, request, peer))?;
        }
        let machines = case.start_machines(9, &store)?;
        let machine = &machines[0];
        let warm = ask(case, machine, 0);
        if !warm.answer.complete || warm.answer.status != 200 {
            return Err("a stream isn't served before the stop".to_owned());
        }
        let stopped = Instant::now();
        if case.trouble {
            case.record.line(format!("{} gets SIGTERM", machine.name));
            machine.signal(SIGTERM);
        }
        let outcomes: Vec<Outcome> = thread::scope(|scope| {
            let clients = SENT_AFTER_MS.map(|sent_after_ms| {
                scope.spawn(move || {
                    let at = Duration::from_millis(sent_after_ms);
                    thread::sleep(at.saturating_sub(stopped.elapsed()));
                    ask(case, machine, sent_after_ms)
                })
            });
            clients.into_iter().map(|client| client.join().expect("a client")).collect()
        });
        let mut held = true;
        for Outcome { sent_after_ms, took, answer } in &outcomes {
            // 200 without its end, within the time limit and the route's timeout.
            let is_cut = answer.status == 200 && !answer.complete;
            let in_time = *took < Duration::from_millis(5_000);
            if is_cut && in_time && *sent_after_ms > COUNTS_FROM_MS {
                held = false;
                case.record.line(format!(
                    "LOST: the request sent {sent_after_ms} ms after the SIGTERM was passed on, \
                     and its answer ends after {:.3} s",
                    took.as_secs_f64()
                ));
            }
        }
        let served = outcomes.iter().filter(|outcome| outcome.answer.complete).count();
        if !case.trouble && served != outcomes.len() {
            return Err("not all are served without the stop".to_owned());
        }
        Ok(held)
    })
}
