//! The owner of a batch job is suspended while the last results wait to be written. Another
//! machine takes the job over and lists them in another order.

#[path = "../harness.rs"]
mod harness;

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::http::{Peer, Request};
use harness::json::Json;
use harness::{Case, Machine, SIGCONT, SIGSTOP, hand_in, read_job, wait_for};

/// Length of the freeze; `fleetbench kinds` says 5 s.
const FREEZE: Duration = Duration::from_secs(5);
const PREFIX: &str = "/pule252/";
const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: [&str; 3] = ["e5b2907c14da6f31", "e5b2907c14da6f32", "e5b2907c14da6f33"];
/// Events of an item.
const EVENTS: u64 = 6;
/// Pause between events, by item, in an item's first run and in later ones.
const FIRST_PAUSE_MS: [u64; 3] = [40, 50, 60];
const LATER_PAUSE_MS: [u64; 3] = [5, 600, 8];

#[derive(Default)]
struct Runs {
    begun: HashMap<usize, u32>,
    ended: HashMap<usize, u32>,
}

fn serve(
    case: &harness::Record,
    runs: &Mutex<Runs>,
    request: &Request,
    peer: &mut Peer,
) -> io::Result<bool> {
    let id = request.header("parsleybeam-request-id");
    let Some(item) = ITEMS.iter().position(|item| *item == id) else {
        peer.answer(404, &harness::replica_head(request, "text/plain"), "")?;
        return Ok(true);
    };
    let run = {
        let mut runs = runs.lock().expect("the runs");
        let count = runs.begun.entry(item).or_default();
        *count += 1;
        *count
    };
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    case.line(format!("a replica begins run {run} of item {} after event {last}", item + 1));
    let pause = if run == 1 { FIRST_PAUSE_MS } else { LATER_PAUSE_MS }[item];
    peer.begin_chunks(200, &harness::replica_head(request, "text/event-stream"))?;
    for event in last + 1..=EVENTS {
        thread::sleep(Duration::from_millis(pause));
        if peer.is_closed() {
            case.line(format!("run {run} of item {} is dropped", item + 1));
            return Ok(false);
        }
        peer.chunk(&format!("id: {event}\ndata: item {} event {event}\n\n", item + 1))?;
    }
    peer.end_chunks()?;
    *runs.lock().expect("the runs").ended.entry(item).or_default() += 1;
    case.line(format!("a replica has ended run {run} of item {}", item + 1));
    Ok(true)
}

/// Items in the order in which a machine lists them; none without a 200.
fn listed(case: &Case, machine: &Machine) -> Option<Vec<String>> {
    let answer = read_job(machine, JOB, 0);
    let body = Json::parse(&answer.body);
    let results = body.as_ref().and_then(|body| body.get("results")).map(Json::list);
    let names: Vec<String> = results
        .unwrap_or_default()
        .iter()
        .map(|result| {
            let id = result.get("id").and_then(Json::text).unwrap_or_default();
            let state = result.get("state").and_then(Json::text).unwrap_or_default();
            let number = ITEMS.iter().position(|item| *item == id).map_or(0, |item| item + 1);
            format!("item {number} {state}")
        })
        .collect();
    case.record.line(format!(
        "{} lists the job: {}, [{}]",
        machine.name,
        answer.status,
        names.join(", ")
    ));
    (answer.status == 200).then_some(names)
}

fn main() {
    harness::run("1", |case| {
        let store = case.start_store()?;
        case.put_manifest(
            &store,
            1,
            &["\"name\":\"r-lots\",\"path_prefix\":\"/pule252/\",\"kind\":\"batch\",\
             \"timeout_ms\":15000,\"latency_target_ms\":400,\"priority\":2,\"max_attempts\":3,\
             \"run_target_ms\":18000,\"retention_s\":60,\"cap\":940000,\"resumable\":true"],
        );
        let runs = Arc::<Mutex<Runs>>::default();
        for number in 1..=3 {
            let (record, runs) = (case.record.clone(), runs.clone());
            case.start_replica(&store, number, move |request, peer| {
                serve(&record, &runs, request, peer)
            })?;
        }
        let machines = case.start_machines(10, &store)?;
        let owner = &machines[0];
        let items: Vec<String> = ITEMS.iter().map(|item| (*item).to_owned()).collect();
        let answer = hand_in(owner, PREFIX, JOB, &items);
        case.record.line(format!("{} answers the job: {}", owner.name, answer.summary()));
        if answer.status != 202 {
            return Err("the job wasn't accepted".to_owned());
        }
        let first_runs = || runs.lock().expect("the runs").ended.len() == ITEMS.len();
        if !wait_for(Duration::from_secs(10), first_runs) {
            return Err("the items don't run".to_owned());
        }
        // So that the owner has read the ends of the answers.
        thread::sleep(Duration::from_millis(100));
        if case.trouble {
            let frozen = Instant::now();
            case.record.line(format!("{} is suspended (SIGSTOP)", owner.name));
            owner.signal(SIGSTOP);
            thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
            owner.signal(SIGCONT);
            case.record.line(format!("{} goes on (SIGCONT)", owner.name));
        }
        // All items are listed, and the owner has had a while to see what changed.
        let complete = |machine: &Machine| {
            read_job(machine, JOB, 0).text().matches("\"state\"").count() == ITEMS.len()
        };
        if !wait_for(Duration::from_secs(20), || complete(&machines[1])) {
            return Err("the job doesn't end".to_owned());
        }
        thread::sleep(Duration::from_secs(6));
        let mut lists = Vec::new();
        for machine in &machines {
            let list = listed(case, machine).or_else(|| {
                thread::sleep(Duration::from_secs(2));
                listed(case, machine)
            });
            lists.push(list.ok_or_else(|| format!("{} doesn't list the job", machine.name))?);
        }
        let same = lists.iter().all(|list| list == &lists[0]);
        if !same {
            case.record
                .line("TWICE: a position of the job holds another result at another machine");
        }
        Ok(same)
    })
}
