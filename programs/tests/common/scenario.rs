//! Runs the directives of the scenario language against real processes.
//!
//! The directives are `start`, `call`, `kill`, `freeze`, `thaw`, `stop`, `outage`,
//! `lost-reply`, `race`, `advance` and `expect`; docs/PROOFS.md describes them. A
//! directive waits for the state that it names, with a timeout that only a fault
//! reaches.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use datadriven::TestCase;
use serde_json::{Value, json};
use standins::engine::token;

use super::client::{Request, Response, completion, events_text};
use super::eventually;
use super::fleet::{Fleet, KEY, Topology, Vm};
use super::process::Signal;

type Sent = Result<Response, String>;

/// A request in progress while the scenario continues.
struct PendingCall {
    expected: Expected,
    received: Rc<RefCell<String>>,
    sent: JoinHandle<Sent>,
}

/// Expected response to a request.
#[derive(Clone)]
enum Expected {
    Completion { prompt: String, tokens: u32, stream: bool },
    StatusOnly,
}

/// Processes and requests of one scenario.
#[derive(Default)]
pub struct Runner {
    fleet: Option<Fleet>,
    calls: BTreeMap<String, PendingCall>,
    withdrawn: Option<Instant>,
}

type DirectiveResult = Result<String, datadriven::DataDrivenError>;

impl Runner {
    /// Runs one directive and returns its output.
    pub async fn run_directive(&mut self, mut case: TestCase) -> DirectiveResult {
        let directive = case.directive.clone();
        let output = match directive.as_str() {
            "start" => self.start(&mut case).await?,
            "call" => self.call(&mut case).await?,
            "race" => self.race(&mut case).await?,
            "kill" => self.signal(&mut case, Signal::Kill)?,
            "freeze" => self.signal(&mut case, Signal::Suspend)?,
            "thaw" => self.signal(&mut case, Signal::Resume)?,
            "stop" => self.signal(&mut case, Signal::Terminate)?,
            "outage" => self.outage(&mut case).await?,
            "lost-reply" => self.lost_reply(&mut case).await?,
            "advance" => {
                let duration = Duration::from_millis(case.take_arg("ms")?);
                actix_rt::time::sleep(duration).await;
                "ok".into()
            }
            "expect" => self.expect(&mut case).await?,
            other => format!("unknown directive: {other}"),
        };
        case.expect_empty()?;
        Ok(output + "\n")
    }

    fn fleet(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("the scenario has run `start`")
    }

    fn vm(&mut self, name: &str) -> &mut Vm {
        let fleet = self.fleet();
        let mut vms = fleet.entries.iter_mut().chain(&mut fleet.stores);
        vms.find(|vm| vm.name == name).unwrap_or_else(|| panic!("no VM {name}"))
    }

    async fn start(&mut self, case: &mut TestCase) -> DirectiveResult {
        if let Some(name) = case.try_take_arg::<String>("vm")? {
            self.vm(&name).restart().await;
            self.vm(&name).wait_ready().await;
            return Ok("ready".into());
        }
        if let Some(number) = case.try_take_arg::<usize>("engine")? {
            self.fleet().restart_engine(number).await;
            return Ok("ready".into());
        }
        let mut topology = Topology::default();
        topology.entries = case.try_take_arg("entries")?.unwrap_or(topology.entries);
        topology.stores = case.try_take_arg("stores")?.unwrap_or(topology.stores);
        topology.engines = case.try_take_arg("engines")?.unwrap_or(topology.engines);
        topology.plain = case.try_take_arg("plain")?.unwrap_or(topology.plain);
        if let Some(micros) = case.try_take_arg::<String>("token-us")? {
            topology.engine_arguments = vec!["--token-us".into(), micros];
        }
        let fleet = Fleet::start(topology).await;
        fleet.create_resources().await;
        fleet.wait_serving().await;
        self.fleet = Some(fleet);
        Ok("ready".into())
    }

    async fn call(&mut self, case: &mut TestCase) -> DirectiveResult {
        if let Some(key) = case.try_take_arg::<String>("withdraw")? {
            self.fleet().delete("key", &key).await;
            self.withdrawn = Some(Instant::now());
            return Ok("accepted".into());
        }
        if let Some(name) = case.try_take_arg::<String>("hang-up")? {
            self.calls.remove(&name).expect("a call of that name").sent.abort();
            return Ok("ok".into());
        }
        if let Some(upstream) = case.try_take_arg::<String>("leave")? {
            self.fleet().delete("upstream", &upstream).await;
            return Ok("accepted".into());
        }
        if let Some(name) = case.try_take_arg::<String>("job")? {
            return self.job(case, &name).await;
        }
        if let Some(name) = case.try_take_arg::<String>("cancel-job")? {
            let (at, key) = (self.caller(case)?, take_key(case)?);
            let path = format!("/v1/batches/{name}/cancel");
            let sent = Request::new("POST", at, &path).key(&key).send().await;
            return Ok(self.outcome(&Expected::StatusOnly, &sent));
        }
        if let Some(name) = case.try_take_arg::<String>("results")? {
            let (at, key) = (self.caller(case)?, take_key(case)?);
            let path = format!("/v1/batches/{name}/results");
            let sent = Request::new("GET", at, &path).key(&key).send().await;
            return Ok(self.outcome(&Expected::StatusOnly, &sent));
        }
        let brief = case.take_flag("brief")?;
        let (request, expected) = self.request(case)?;
        let Some(name) = case.try_take_arg::<String>("as")? else {
            let sent = request.send().await;
            let outcome = self.outcome(&expected, &sent);
            return Ok(if brief { brief_outcome(&outcome) } else { outcome });
        };
        let received = Rc::<RefCell<String>>::default();
        let sink = received.clone();
        let sent = actix_rt::spawn(request.send_with(move |chunk| {
            sink.borrow_mut().push_str(&String::from_utf8_lossy(chunk));
        }));
        self.calls.insert(name, PendingCall { expected, received, sent });
        Ok("running".into())
    }

    fn caller(
        &mut self,
        case: &mut TestCase,
    ) -> Result<std::net::SocketAddr, datadriven::DataDrivenError> {
        let at = case.try_take_arg::<String>("at")?.unwrap_or_else(|| "entry-0".into());
        Ok(self.vm(&at).caller)
    }

    fn request(
        &mut self,
        case: &mut TestCase,
    ) -> Result<(Request, Expected), datadriven::DataDrivenError> {
        let at = self.caller(case)?;
        let key = take_key(case)?;
        if let Some(body) = case.try_take_arg::<String>("bill")? {
            let mut request = Request::new("POST", at, "/bill").key(&key).body(body);
            if let Some(key) = case.try_take_arg::<String>("idempotency")? {
                request = request.header("idempotency-key", &key);
            }
            return Ok((request, Expected::StatusOnly));
        }
        let prompt = case.take_arg::<String>("complete")?;
        let tokens = case.try_take_arg("tokens")?.unwrap_or(8);
        let stream = case.take_flag("stream")?;
        let body = completion(&prompt, tokens, stream);
        let request = Request::post(at, "/v1/completions", &body).key(&key);
        Ok((request, Expected::Completion { prompt, tokens, stream }))
    }

    /// Sends the requests of the input concurrently. Returns their outcomes, sorted, or
    /// only their number with `any-outcome`.
    async fn race(&mut self, case: &mut TestCase) -> DirectiveResult {
        let mut running = Vec::new();
        for line in case.input.clone().lines() {
            let mut words = line.split_whitespace();
            let at = self.vm(words.next().unwrap_or_default());
            let (operator, caller) = (at.operator, at.caller);
            let request = match (words.next(), words.next(), words.next()) {
                (Some("apply"), Some(path), Some(spec)) => {
                    let spec: Value = serde_json::from_str(spec).unwrap_or_default();
                    Request::new("PUT", operator, &format!("/api/v1/{path}"))
                        .key(super::fleet::OPERATOR)
                        .header("if-none-match", "*")
                        .body(json!({"spec": spec}).to_string())
                }
                (Some("bill"), Some(body), Some(key)) => Request::new("POST", caller, "/bill")
                    .key(KEY)
                    .header("idempotency-key", key)
                    .body(body.to_owned()),
                other => panic!("unknown request in race: {other:?}"),
            };
            running.push(request.send());
        }
        let sent = futures_util::future::join_all(running).await;
        if case.take_flag("any-outcome")? {
            return Ok(format!("{} ended", sent.len()));
        }
        let mut outcomes: Vec<_> =
            sent.iter().map(|sent| self.outcome(&Expected::StatusOnly, sent)).collect();
        outcomes.sort();
        Ok(outcomes.join("\n"))
    }

    async fn job(&mut self, case: &mut TestCase, name: &str) -> DirectiveResult {
        let at = self.caller(case)?;
        let items: u32 = case.take_arg("items")?;
        let tokens = case.try_take_arg("tokens")?.unwrap_or(4);
        let lines: Vec<String> = (0..items).map(|number| item(name, number, tokens)).collect();
        let path = format!("/v1/batches?name={name}&path=/v1/completions");
        let request = Request::new("POST", at, &path).key(KEY).body(lines.join("\n"));
        let (response, _) = eventually("the job is accepted or refused permanently", async || {
            let response = request.clone().send().await.ok()?;
            (response.status < 500).then_some(response)
        })
        .await;
        if response.status < 300 { Ok("accepted".into()) } else { Ok(refusal_summary(&response)) }
    }

    fn signal(&mut self, case: &mut TestCase, signal: Signal) -> DirectiveResult {
        if let Some(number) = case.try_take_arg::<usize>("engine")? {
            let engine = &mut self.fleet().engines[number];
            signal.send(&mut engine.process);
            return Ok("ok".into());
        }
        let name = case.take_arg::<String>("vm")?;
        signal.send(&mut self.vm(&name).process);
        Ok("ok".into())
    }

    async fn outage(&mut self, case: &mut TestCase) -> DirectiveResult {
        let on = case.take_flag("on")?;
        case.take_flag("off")?;
        self.fleet().kv.set_faults(json!({"outage": on})).await;
        Ok("ok".into())
    }

    async fn lost_reply(&mut self, case: &mut TestCase) -> DirectiveResult {
        let count = case.try_take_arg::<u64>("count")?.unwrap_or(1);
        self.fleet().kv.set_faults(json!({"lose_replies": count})).await;
        Ok("ok".into())
    }

    async fn expect(&mut self, case: &mut TestCase) -> DirectiveResult {
        if let Some(name) = case.try_take_arg::<String>("answer")? {
            let call = self.calls.remove(&name).expect("a call of that name");
            let sent = call.sent.await.map_err(|error| error.to_string()).and_then(|sent| sent);
            if let Some(within) = case.try_take_arg::<u64>("after-withdrawal-ms")? {
                let took = self.withdrawn.expect("a key was withdrawn").elapsed().as_millis();
                if took > u128::from(within) {
                    return Ok(format!("only after {took} ms"));
                }
            }
            return Ok(self.outcome(&call.expected, &sent));
        }
        if let Some(name) = case.try_take_arg::<String>("begun")? {
            return Ok(self.wait_begun(&name).await);
        }
        if let Some(name) = case.try_take_arg::<String>("job")? {
            let (at, items) = (self.caller(case)?, case.take_arg("items")?);
            return Ok(count_items_once(at, &name, items).await);
        }
        if let Some(within) = case.try_take_arg::<u64>("refused-everywhere-within-ms")? {
            return Ok(self.refused_everywhere(within).await);
        }
        if let Some(vm) = case.try_take_arg::<String>("exit")? {
            let status = self.vm(&vm).process.wait_exit().await;
            return Ok(format!("{status}"));
        }
        if let Some(prompt) = case.try_take_arg::<String>("cancelled")? {
            let within: u64 = case.take_arg("within-ms")?;
            return Ok(self.cancelled(&prompt, within).await);
        }
        if case.take_flag("serving")? {
            self.fleet().wait_serving().await;
            return Ok("yes".into());
        }
        if case.take_flag("engines-lost")? {
            let engines = &mut self.fleet().engines;
            let alive = engines.iter_mut().map(|engine| engine.process.is_running());
            return Ok(alive.filter(|alive| !alive).count().to_string());
        }
        if let Some(duration) = case.try_take_arg::<u64>("no-new-runs-for-ms")? {
            return Ok(self.no_new_runs(Duration::from_millis(duration)).await);
        }
        if let Some(number) = case.try_take_arg::<usize>("unused-engine")? {
            return Ok(self.unused_engine(number).await);
        }
        if case.take_flag("engines-idle")? {
            return Ok(self.engines_idle().await);
        }
        if case.take_flag("key-unseen")? {
            return Ok(self.key_unseen().await);
        }
        case.take_flag("runs")?;
        Ok(self.runs().await)
    }

    async fn wait_begun(&mut self, name: &str) -> String {
        let received = self.calls[name].received.clone();
        let begun = async || (!events_text(&received.borrow()).is_empty()).then_some(());
        eventually("the first token arrives", begun).await;
        "yes".into()
    }

    async fn refused_everywhere(&mut self, within: u64) -> String {
        let since = self.withdrawn.expect("a key was withdrawn");
        let body = completion("after", 1, false);
        for vm in &mut self.fleet().entries {
            if !vm.process.is_running() {
                continue;
            }
            let caller = vm.caller;
            eventually("the key is refused", async || {
                let call = Request::post(caller, "/v1/completions", &body).key(KEY);
                call.send().await.ok().filter(|response| response.status == 401)
            })
            .await;
        }
        let took = since.elapsed().as_millis() as u64;
        if took <= within { "yes".into() } else { format!("only after {took} ms") }
    }

    async fn cancelled(&mut self, prompt: &str, within: u64) -> String {
        let engines = &self.fleet().engines;
        let (_, took) =
            eventually(&format!("the request {prompt} is cancelled at an engine"), async || {
                for engine in engines {
                    let cancelled = engine.get("/standin/cancelled").await;
                    if cancelled.as_array().is_some_and(|requests| {
                        requests.iter().any(|request| request["prompt"] == prompt)
                    }) {
                        return Some(());
                    }
                }
                None
            })
            .await;
        if took.as_millis() as u64 <= within { "yes".into() } else { format!("after {took:?}") }
    }

    /// Counts the completion requests that the engines have received.
    async fn completion_count(&mut self) -> u64 {
        let mut count = 0;
        for engine in &self.fleet().engines {
            let calls = engine.get("/standin/counters").await;
            count += calls["/v1/completions"].as_u64().unwrap_or_default();
        }
        count
    }

    async fn no_new_runs(&mut self, duration: Duration) -> String {
        let before = self.completion_count().await;
        actix_rt::time::sleep(duration).await;
        match self.completion_count().await - before {
            0 => "yes".into(),
            more => format!("{more} more"),
        }
    }

    /// Sends requests through every entry VM and checks that the engine receives none.
    async fn unused_engine(&mut self, number: usize) -> String {
        let fleet = self.fleet();
        let received = async || {
            let calls = fleet.engines[number].get("/standin/counters").await;
            calls["/v1/completions"].as_u64().unwrap_or_default()
        };
        let before = received().await;
        for call in 0..CALLS {
            for vm in &fleet.entries {
                let body = completion(&format!("unused {call}"), 1, false);
                let call = Request::post(vm.caller, "/v1/completions", &body).key(KEY);
                let response = call.send().await.expect("a response");
                assert_eq!(response.status, 200, "{}", response.text());
            }
        }
        match received().await - before {
            0 => "yes".into(),
            more => format!("it got {more}"),
        }
    }

    async fn engines_idle(&mut self) -> String {
        for engine in &self.fleet().engines {
            eventually("the engine is idle", async || {
                let load = engine.get("/v1/load").await;
                (load["running"] == 0 && load["waiting"] == 0).then_some(())
            })
            .await;
        }
        "yes".into()
    }

    async fn key_unseen(&mut self) -> String {
        let fleet = self.fleet();
        for standin in fleet.engines.iter().chain(&fleet.plain) {
            if standin.get(&format!("/standin/seen?key={KEY}")).await["found"] == true {
                return "seen".into();
            }
        }
        "yes".into()
    }

    /// Counts the requests that the plain services ran, by body.
    async fn runs(&mut self) -> String {
        let mut runs = BTreeMap::<String, u64>::new();
        for plain in &self.fleet().plain {
            for (body, count) in
                plain.get("/standin/bodies").await.as_object().into_iter().flatten()
            {
                *runs.entry(body.clone()).or_default() += count.as_u64().unwrap_or_default();
            }
        }
        let lines: Vec<_> = runs.iter().map(|(body, count)| format!("{body} {count}")).collect();
        lines.join("\n")
    }

    /// Summarizes a response for the scenario's output.
    fn outcome(&self, expected: &Expected, sent: &Sent) -> String {
        let response = match sent {
            Ok(response) => response,
            Err(_) => return "no answer".into(),
        };
        if response.status >= 300 {
            return refusal_summary(response);
        }
        let Expected::Completion { prompt, tokens, stream } = expected else {
            return response.status.to_string();
        };
        let text = match stream {
            true => response.stream_text(),
            false => response.json()["choices"][0]["text"].as_str().map(str::to_owned),
        };
        let complete = text.as_deref() == Some(&token::answer(prompt, *tokens));
        if !complete {
            let body = response.text();
            let tail = body.len().saturating_sub(PRINTED_BYTES);
            eprintln!(
                "the response differs from the expected text; it ends in: {}",
                body.get(tail..).unwrap_or(&body)
            );
        }
        format!("{} {}", response.status, if complete { "whole" } else { "not whole" })
    }
}

/// Number of requests sent through each entry VM by `expect unused-engine`.
const CALLS: usize = 20;

/// Number of bytes at the end of an unexpected response that are printed.
const PRINTED_BYTES: usize = 600;

fn refusal_summary(response: &Response) -> String {
    let problem = response.json();
    let kind = problem["type"].as_str().unwrap_or_default();
    let kind = kind.rsplit(['/', ':', '#']).next().unwrap_or_default();
    format!("{} {kind} {}", response.status, response.run()).trim().to_owned()
}

/// Reduces an outcome to whether the request was refused without being run.
fn brief_outcome(outcome: &str) -> String {
    let refused = outcome.ends_with(" not-run");
    if refused { "refused not-run".into() } else { outcome.to_owned() }
}

fn take_key(case: &mut TestCase) -> Result<String, datadriven::DataDrivenError> {
    Ok(case.try_take_arg("key")?.unwrap_or_else(|| KEY.into()))
}

fn item(job: &str, number: u32, tokens: u32) -> String {
    let body = completion(&format!("{job} {number}"), tokens, false);
    json!({"custom_id": format!("item-{number}"), "body": body}).to_string()
}

/// Waits until a job has as many results as items. Returns how many items have
/// exactly one result.
async fn count_items_once(at: std::net::SocketAddr, name: &str, items: usize) -> String {
    let path = format!("/v1/batches/{name}/results");
    let (results, _) = eventually("every item has a result", async || {
        let response = Request::new("GET", at, &path).key(KEY).send().await.ok()?;
        let text = response.text();
        (response.status == 200 && text.lines().count() >= items).then_some(text)
    })
    .await;
    let mut found = BTreeMap::<String, usize>::new();
    for line in results.lines() {
        let line: Value = serde_json::from_str(line).unwrap_or_default();
        let id = line["custom_id"].as_str().unwrap_or("without a name").to_owned();
        *found.entry(id).or_default() += 1;
    }
    let once = found.values().filter(|count| **count == 1).count();
    format!("{once} of {items} once")
}
