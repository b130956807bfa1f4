//! The cases: what is sent, what is disturbed, and what is judged.

use super::*;

/// Runs a case; 1 if its rule was broken, 0 if it held.
pub fn drive(case: &str, folder: &Path, record: &Path, trouble: bool) -> i32 {
    let broken = match case {
        "cut-stream" => cut_stream(folder, record, trouble),
        "cut-item" => cut_item(folder, record, trouble),
        "taken-up" => taken_up(folder, record, trouble),
        "two-versions" => two_versions(folder, record, trouble),
        "crashing-part" => crashing_part(folder, record, "chunked", trouble),
        "crashing-unframed" => crashing_part(folder, record, "close", trouble),
        _ => return 2,
    };
    i32::from(broken)
}

/// Number of complete events of an answer, in order from the first on.
fn whole_events(id: &str, text: &str) -> u64 {
    let mut rest = text;
    let mut count = 0;
    loop {
        let next = format!("id: {}\ndata: {}\n\n", count + 1, data(id, count + 1));
        match rest.strip_prefix(next.as_str()) {
            Some(left) => rest = left,
            None => return count,
        }
        count += 1;
    }
}

/// A replica is killed while it writes streams that end with their connections.
fn cut_stream(folder: &Path, record: &Path, trouble: bool) -> bool {
    const STREAMS: usize = 36;
    let shape = Shape { framing: "close", events: 36, prefill_ms: 60, gap_ms: 50, bad: "", old: 9 };
    let mut site = Site::start(folder, record, shape, 9, 3);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let id = format!("c0de{number:012x}");
        let caller = site.vms[number % 3].caller;
        let answers = answers.clone();
        site.note(&format!("a client sends {id} on route notes"));
        clients.push(thread::spawn(move || {
            let prompt = format!("a1:100,b{}:100,d{number:x}:250", number % 4);
            let answer = ask(caller, "notes", &id, &prompt);
            answers.lock().expect("no panic").push((id, answer));
        }));
        thread::sleep(Duration::from_millis(30));
    }
    thread::sleep(Duration::from_millis(300));
    if trouble {
        site.kill_replica(0);
    }
    for client in clients {
        client.join().expect("a client ends");
    }
    let mut broken = 0;
    for (id, answer) in answers.lock().expect("no panic").iter() {
        let events = whole_events(id, &answer.text());
        let ends_early = answer.status == 200 && answer.complete && events < shape.events;
        broken += usize::from(ends_early);
        site.note(&format!(
            "{id} was answered {}, {events} of {} events, {}{}",
            answer.status,
            shape.events,
            if answer.complete { "ended as complete" } else { "broken off" },
            if ends_early { ": ENDS AS COMPLETE BEFORE ITS LAST EVENT" } else { "" }
        ));
    }
    site.note_replicas();
    site.note(&format!("{broken} of {STREAMS} streams ended as complete before their last event"));
    broken > 0
}

/// Two of nine replicas are killed, one after the other, while they run items of batch jobs.
fn cut_item(folder: &Path, record: &Path, trouble: bool) -> bool {
    const JOBS: usize = 4;
    const ITEMS: usize = 10;
    let shape =
        Shape { framing: "close", events: 40, prefill_ms: 400, gap_ms: 50, bad: "", old: 9 };
    let mut site = Site::start(folder, record, shape, 9, 3);
    let bearer = format!("Bearer {KEY}");
    let headers = [("Authorization", bearer.as_str()), ("Content-Type", "application/json")];
    for job in 0..JOBS {
        let status = submit(&site, &job_name(job), &headers, job, ITEMS);
        site.note(&format!("batch job {} of {ITEMS} items: {status}", job_name(job)));
        assert_eq!(status, 202, "the batch job is accepted");
    }
    if trouble {
        thread::sleep(Duration::from_millis(1_400));
        site.kill_replica(0);
        let next = next_to_crash(&site);
        site.kill_replica(next);
        thread::sleep(Duration::from_secs(2));
        site.reboot(0);
        site.reboot(next);
    }
    let (mut broken, mut listed) = (0, 0);
    for job in 0..JOBS {
        let results = read_results(&site, &job_name(job), &headers, ITEMS);
        listed += results.len();
        broken += results.iter().filter(|result| is_cut(&site, result, shape.events)).count();
    }
    site.note_replicas();
    site.note(&format!(
        "{broken} of {listed} listed items are completed without their whole output"
    ));
    broken > 0
}

fn job_name(job: usize) -> String {
    format!("7c41e09b52d6a3{job:02x}")
}

/// Submits a batch job; the status of the answer.
fn submit(site: &Site, job: &str, headers: &[(&str, &str)], number: usize, count: usize) -> u16 {
    let item = |index: usize| {
        let id = format!("e5b2907c{:08x}", number * 100 + index);
        let body = base64(format!("report {index}").as_bytes());
        format!(
            r#"{{"id":"{id}","path":"/reports/{index}","headers":{{"Parsleybeam-Model":"m","Parsleybeam-Token-Usage":"350,400","Parsleybeam-Prompt-Prefix":"9c:100,{id}:250"}},"body":"{body}","tokens":750}}"#
        )
    };
    let items: Vec<String> = (0..count).map(item).collect();
    let body = format!("{{\"items\":[{}]}}", items.join(","));
    let headers: Vec<(&str, &str)> =
        headers.iter().copied().chain([("Parsleybeam-Request-Id", job)]).collect();
    let caller = site.vms[number % site.vms.len()].caller;
    let target = format!("/reports/{job}");
    call(caller, "POST", &target, &headers, body.as_bytes(), Duration::from_secs(4)).status
}

/// Waits until items go on elsewhere that the killed replica began; a replica that reads the
/// prompt of one.
fn next_to_crash(site: &Site) -> usize {
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        // A moment, so that more of them may have come to a replica.
        thread::sleep(Duration::from_millis(60));
        let most = (1..site.replicas.len()).map(|index| (resumed(site, index), index)).max();
        if let Some((count, index)) = most
            && count > 0
        {
            return index;
        }
    }
    1
}

/// Number of items that go on at a replica after an event of another run, and have no event
/// there yet.
fn resumed(site: &Site, index: usize) -> usize {
    let replica = &site.replicas[index];
    let text = std::fs::read_to_string(&replica.log).unwrap_or_default();
    let has_event = |id: &str| {
        let stem = format!(" of {id} at ");
        text.lines().any(|line| line.contains(" event ") && line.contains(&stem))
    };
    // Runs that only ask for an end have nothing left to send.
    let whole = format!(" after {}", site.shape.events);
    let goes_on = |line: &&str| !line.ends_with(" after 0") && !line.ends_with(&whole);
    let runs = text.lines().filter(|line| line.contains(" runs ")).filter(goes_on);
    runs.filter(|line| line.split(' ').nth(2).is_some_and(|id| !has_event(id))).count()
}

/// Whether an item is listed as completed without its whole output.
fn is_cut(site: &Site, result: &Json, events: u64) -> bool {
    let (id, state, output) = (result.text("id"), result.text("state"), result.text("output"));
    let whole: Vec<String> = (1..=events).map(|event| data(id, event)).collect();
    let is_cut = state == "completed" && output != whole.join("\n");
    site.note(&format!(
        "item {id} is {state} with {} of {events} events{}",
        output.lines().count(),
        if is_cut { ": COMPLETED WITHOUT ITS WHOLE OUTPUT" } else { "" }
    ));
    is_cut
}

/// Reads a batch job at all entry VMs in turn until all of its items are listed.
fn read_results(site: &Site, job: &str, headers: &[(&str, &str)], items: usize) -> Vec<Json> {
    let mut results = Vec::new();
    let until = Instant::now() + Duration::from_secs(50);
    let mut turn = 0;
    while results.len() < items && Instant::now() < until {
        let caller = site.vms[turn % site.vms.len()].caller;
        turn += 1;
        let target = format!("/-/lots/{job}?after={}", results.len());
        let answer = call(caller, "GET", &target, headers, b"", Duration::from_secs(3));
        if answer.status == 200
            && let Some(page) = Json::parse(&answer.text())
        {
            results.extend_from_slice(page.list("results"));
        }
        thread::sleep(Duration::from_millis(500));
    }
    results
}

/// A part of prompts crashes replicas. With framed answers, all processes of the system are
/// killed once; with answers that end with their connections, nothing else happens.
fn crashing_part(folder: &Path, record: &Path, framing: &'static str, trouble: bool) -> bool {
    const BAD: &str = "bad0";
    const REPLICAS: usize = 9;
    let is_framed = framing == "chunked";
    let bad = if trouble || is_framed { BAD } else { "" };
    let shape = Shape { framing, events: 10, prefill_ms: 40, gap_ms: 20, bad, old: 9 };
    let mut site = Site::start(folder, record, shape, REPLICAS, 3);
    let mut number = 0;
    let mut send = |site: &mut Site, is_bad: bool| {
        number += 1;
        let id = format!("{}{number:012x}", if is_bad { "bad1" } else { "500d" });
        let second = if is_bad { BAD.to_owned() } else { format!("b{}", number % 4) };
        let prompt = format!("a1:100,{second}:100,d{number:x}:250");
        let caller = site.vms[number % 3].caller;
        site.note(&format!("a client sends {id} with {prompt} to {caller}"));
        let answer = ask(caller, "replies", &id, &prompt);
        site.note(&format!("{id} was answered {}, complete {}", answer.status, answer.complete));
        // A replica that has crashed is back after some seconds.
        site.reboot_ended(Duration::from_secs(2));
    };
    // Some requests a second have the part, and sound ones come between them.
    let mut play = |site: &mut Site, span: Duration, with_bad: bool| {
        let until = Instant::now() + span;
        while Instant::now() < until {
            if with_bad {
                send(site, true);
                send(site, true);
            }
            send(site, false);
            thread::sleep(Duration::from_millis(100));
        }
    };
    play(&mut site, Duration::from_secs(2), false);
    play(&mut site, Duration::from_secs(6), true);
    let (crashes, _) = bad_runs(&site, 0);
    site.note(&format!("{} replicas have crashed so far", crashes.len()));
    if trouble && is_framed {
        // The final fault: right after a manifest has been acknowledged.
        site.store.put("op/config", &manifest(2));
        site.note("the store acknowledges manifest 2");
        site.kill_all_vms(Duration::from_millis(500));
    }
    // No request with the part comes until all machines are in touch again.
    play(&mut site, Duration::from_millis(4_500), false);
    let from = unix_ms();
    site.note("all machines have been in touch; requests with the part come again");
    play(&mut site, Duration::from_secs(8), true);
    let (crashes, later) = bad_runs(&site, from);
    let fifth = crashes.get(4).copied();
    site.note_replicas();
    site.note(&format!(
        "{} crashes before and after, the fifth at {fifth:?}; {later} requests with the part \
         reached replicas later, from machines in touch, later than contact_ms after it",
        crashes.len()
    ));
    later > 3
}

/// Times of the crashes under the part, and the number of requests with it that reached
/// replicas at `from` or later and later than 3 s after the fifth crash.
fn bad_runs(site: &Site, from: u128) -> (Vec<u128>, usize) {
    let lines = site.replica_lines();
    let times = |verb: &str| -> Vec<u128> {
        let prefix = format!("{verb} bad1");
        let lines = lines.iter().filter(|(_, line)| line.starts_with(&prefix));
        lines.map(|(at, _)| *at).collect()
    };
    let (crashes, runs) = (times("crashes"), times("runs"));
    let bound = crashes.get(4).map_or(u128::MAX, |fifth| (fifth + 3_000).max(from));
    (crashes, runs.iter().filter(|at| **at > bound).count())
}

/// While the store is down, a replica is back under its identifier with another version of its
/// software, and another replica crashes.
fn two_versions(folder: &Path, record: &Path, trouble: bool) -> bool {
    let shape =
        Shape { framing: "chunked", events: 36, prefill_ms: 60, gap_ms: 70, bad: "", old: 2 };
    let mut site = Site::start(folder, record, shape, 9, 2);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let mut play = |site: &Site, span: Duration| {
        let until = Instant::now() + span;
        while Instant::now() < until {
            let number = clients.len();
            let id = format!("c0de{number:012x}");
            let caller = site.vms[number % 2].caller;
            let answers = answers.clone();
            site.note(&format!("a client sends {id} on route notes to {caller}"));
            clients.push(thread::spawn(move || {
                let prompt = format!("a1:100,b{}:100,d{number:x}:250", number % 4);
                let answer = ask(caller, "notes", &id, &prompt);
                answers.lock().expect("no panic").push((id, answer));
            }));
            thread::sleep(Duration::from_millis(50));
        }
    };
    play(&site, Duration::from_secs(3));
    if trouble {
        site.kill_replica(0);
    }
    play(&site, Duration::from_millis(1_000));
    if trouble {
        site.store.is_down.store(true, Ordering::SeqCst);
        site.note("the store is down");
        site.reboot_as(0, "v2");
    }
    play(&site, Duration::from_millis(3_300));
    if trouble {
        site.kill_replica(1);
    }
    play(&site, Duration::from_millis(900));
    if trouble {
        site.store.is_down.store(false, Ordering::SeqCst);
        site.note("the store is back");
    }
    play(&site, Duration::from_millis(500));
    for client in clients {
        client.join().expect("a client ends");
    }
    let mut broken = 0;
    for (id, answer) in answers.lock().expect("no panic").iter() {
        let text = answer.text();
        let events = || text.lines().filter(|line| line.starts_with("data: "));
        let later = events().filter(|line| line.ends_with(LATER)).count();
        let is_mixed = later > 0 && later < events().count();
        broken += usize::from(is_mixed);
        site.note(&format!(
            "{id} was answered {}, {} events, {later} of them by v2, {}{}",
            answer.status,
            events().count(),
            if answer.complete { "complete" } else { "broken off" },
            if is_mixed { ": HOLDS EVENTS OF TWO VERSIONS" } else { "" }
        ));
    }
    site.note_replicas();
    site.note(&format!(
        "{broken} streams hold events of two versions; more than two break the rule"
    ));
    broken > 2
}

/// What a client saw of a stream, over its first attempt and the one retry of its sheet.
struct Seen {
    id: String,
    first: Answer,
    /// The answer to the attempt that takes the stream up again, if there was one, and the time
    /// that was left to it.
    again: Option<(Duration, Answer)>,
}

/// Number of events of an answer.
fn events_of(answer: &Answer) -> usize {
    answer.text().lines().filter(|line| line.starts_with("data: ")).count()
}

/// Asks for a stream, and takes it up once at another machine if its connection breaks off.
fn follow(id: String, caller: SocketAddr, other: SocketAddr, number: usize) -> Seen {
    let prompt = format!("a1:100,b{}:100,d{number:x}:250", number % 4);
    let began = Instant::now();
    let first = ask(caller, "notes", &id, &prompt);
    let events = events_of(&first);
    if first.status != 200 || first.complete || events == 0 {
        return Seen { id, first, again: None };
    }
    let left = Duration::from_secs(5).saturating_sub(began.elapsed());
    let left_ms = left.as_millis().to_string();
    let (bearer, last) = (format!("Bearer {KEY}"), events.to_string());
    let again_id = id.replacen("c0de", "a9a1", 1);
    let headers = [
        ("Parsleybeam-Request-Id", again_id.as_str()),
        ("Parsleybeam-Model", "m"),
        ("Parsleybeam-Token-Usage", "450,80"),
        ("Parsleybeam-Prompt-Prefix", &prompt),
        ("Parsleybeam-Request-Deadline", &left_ms),
        ("Authorization", &bearer),
        ("Last-Event-Id", &last),
        ("Resumes", &id),
    ];
    let target = format!("/notes/{id}");
    let timeout = Duration::from_secs(7);
    let again = call(other, "POST", &target, &headers, id.as_bytes(), timeout);
    Seen { id, first, again: Some((left, again)) }
}

/// Five of nine entry processes are killed; clients take their streams up at the other four.
fn taken_up(folder: &Path, record: &Path, trouble: bool) -> bool {
    const VMS: usize = 9;
    const KILLED: usize = 5;
    const ENOUGH: Duration = Duration::from_secs(1);
    let shape =
        Shape { framing: "chunked", events: 60, prefill_ms: 40, gap_ms: 78, bad: "", old: 9 };
    let mut site = Site::start(folder, record, shape, 9, VMS);
    // A tenant that uses two thirds of its rate.
    let (usual, lower) = ("\"rate_per_s\":35,\"burst\":35", "\"rate_per_s\":20,\"burst\":20");
    site.store.put("op/config", &manifest(2).replace(usual, lower));
    thread::sleep(Duration::from_secs(4));
    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let mut play = |site: &Site, span: Duration, alive: &[usize], others: &[usize]| {
        let until = Instant::now() + span;
        while Instant::now() < until {
            let number = clients.len();
            let id = format!("c0de{number:012x}");
            let caller = site.vms[alive[number % alive.len()]].caller;
            let other = site.vms[others[number % others.len()]].caller;
            let seen = seen.clone();
            site.note(&format!("a client sends {id} on route notes to {caller}"));
            clients.push(thread::spawn(move || {
                let followed = follow(id, caller, other, number);
                seen.lock().expect("no panic").push(followed);
            }));
            thread::sleep(Duration::from_millis(76));
        }
    };
    let all: Vec<usize> = (0..VMS).collect();
    let (killed, alive) = all.split_at(KILLED);
    play(&site, Duration::from_secs(9), &all, alive);
    if trouble {
        for index in killed {
            let _ = site.vms[*index].child.kill();
        }
        for index in killed {
            let _ = site.vms[*index].child.wait();
            forget(&site.vms[*index].child);
        }
        site.note("SIGKILL to edge-porto-1 to edge-porto-5");
        play(&site, Duration::from_millis(1_700), alive, alive);
        for index in killed {
            site.vms[*index].child = spawn_vm(&site.vms[*index].settings, &site.vms[*index].log);
        }
        site.note("edge-porto-1 to edge-porto-5 are started again");
    }
    play(&site, Duration::from_secs(3), alive, alive);
    for client in clients {
        client.join().expect("a client ends");
    }
    let seen = seen.lock().expect("no panic");
    let (mut began, mut taken, mut gone_on, mut too_late) = (0, 0, 0, 0);
    for Seen { id, first, again } in seen.iter() {
        began += usize::from(events_of(first) > 0);
        let again = again.as_ref().map(|(left, again)| {
            // What hardly has time left could break off for that.
            match *left < ENOUGH {
                true => too_late += 1,
                false => {
                    taken += 1;
                    gone_on += usize::from(events_of(again) > 0);
                }
            }
            let (left_ms, events) = (left.as_millis(), events_of(again));
            format!("; taken up with {left_ms} ms left: {}, {events} events more", again.status)
        });
        let again = again.unwrap_or_default();
        site.note(&format!(
            "{id} was answered {}, {} events{again}",
            first.status,
            events_of(first)
        ));
    }
    let all = seen.len();
    site.note_replicas();
    site.note(&format!(
        "of {taken} streams that clients took up again, {gone_on} went on ({too_late} with under a \
         second left don't count); of {all} new ones {began} began"
    ));
    taken >= 12 && gone_on * all * 2 < taken * began
}
