//! The words of the scenario language on real processes.
//!
//! `start`, `call`, `kill`, `freeze`, `thaw`, `outage`, `lost-reply`, `race`,
//! `advance` and `expect`, as docs/PROOFS.md describes them. A word waits for
//! what it names, with a limit that only a fault reaches.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use datadriven::TestCase;
use serde_json::{Value, json};
use standins::engine::token;

use super::client::{Answer, Request, completion, streamed_text};
use super::eventually;
use super::fleet::{Fleet, KEY, Plan, Vm};
use super::process::Signal;

type Sent = Result<Answer, String>;

/// A call that runs while the scenario goes on.
struct Call {
    wanted: Wanted,
    received: Rc<RefCell<String>>,
    sent: JoinHandle<Sent>,
}

/// What the answer to a call must be.
#[derive(Clone)]
enum Wanted {
    Completion { prompt: String, tokens: u32, stream: bool },
    Receipt,
}

/// One scenario's processes and calls.
#[derive(Default)]
pub struct Runner {
    fleet: Option<Fleet>,
    calls: BTreeMap<String, Call>,
    withdrawn: Option<Instant>,
}

type DirectiveResult = Result<String, datadriven::DataDrivenError>;

impl Runner {
    /// Performs one word.
    pub async fn run_directive(&mut self, mut case: TestCase) -> DirectiveResult {
        let word = case.directive.clone();
        let output = match word.as_str() {
            "start" => self.start(&mut case).await?,
            "call" => self.call(&mut case).await?,
            "race" => self.race(&mut case).await?,
            "kill" => self.signal(&mut case, Signal::Kill)?,
            "freeze" => self.signal(&mut case, Signal::Freeze)?,
            "thaw" => self.signal(&mut case, Signal::Thaw)?,
            "stop" => self.signal(&mut case, Signal::Stop)?,
            "outage" => self.outage(&mut case).await?,
            "lost-reply" => self.lost_reply(&mut case).await?,
            "advance" => {
                let span = Duration::from_millis(case.take_arg("ms")?);
                actix_rt::time::sleep(span).await;
                "ok".into()
            }
            "expect" => self.expect(&mut case).await?,
            other => format!("no such word: {other}"),
        };
        case.expect_empty()?;
        Ok(output + "\n")
    }

    fn fleet(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("a scenario begins with `start`")
    }

    fn vm(&mut self, name: &str) -> &mut Vm {
        let fleet = self.fleet();
        let mut vms = fleet.entries.iter_mut().chain(&mut fleet.stores);
        vms.find(|vm| vm.name == name).unwrap_or_else(|| panic!("no VM {name}"))
    }

    async fn start(&mut self, case: &mut TestCase) -> DirectiveResult {
        if let Some(name) = case.try_take_arg::<String>("vm")? {
            self.vm(&name).restart().await;
            self.vm(&name).ready().await;
            return Ok("ready".into());
        }
        if let Some(number) = case.try_take_arg::<usize>("engine")? {
            self.fleet().restart_engine(number).await;
            return Ok("ready".into());
        }
        let mut plan = Plan::default();
        plan.entries = case.try_take_arg("entries")?.unwrap_or(plan.entries);
        plan.stores = case.try_take_arg("stores")?.unwrap_or(plan.stores);
        plan.engines = case.try_take_arg("engines")?.unwrap_or(plan.engines);
        plan.plain = case.try_take_arg("plain")?.unwrap_or(plan.plain);
        if let Some(micros) = case.try_take_arg::<String>("token-us")? {
            plan.engine = vec!["--token-us".into(), micros];
        }
        let fleet = Fleet::start(plan).await;
        fleet.furnish().await;
        fleet.serving().await;
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
            let (at, key) = (self.caller(case)?, key_of(case)?);
            let path = format!("/v1/batches/{name}/cancel");
            let sent = Request::new("POST", at, &path).key(&key).send().await;
            return Ok(self.outcome(&Wanted::Receipt, &sent));
        }
        if let Some(name) = case.try_take_arg::<String>("results")? {
            let (at, key) = (self.caller(case)?, key_of(case)?);
            let path = format!("/v1/batches/{name}/results");
            let sent = Request::new("GET", at, &path).key(&key).send().await;
            return Ok(self.outcome(&Wanted::Receipt, &sent));
        }
        let brief = case.take_flag("brief")?;
        let (request, wanted) = self.request(case)?;
        let Some(name) = case.try_take_arg::<String>("as")? else {
            let sent = request.send().await;
            let outcome = self.outcome(&wanted, &sent);
            return Ok(if brief { briefly(&outcome) } else { outcome });
        };
        let received = Rc::<RefCell<String>>::default();
        let shown = received.clone();
        let sent = actix_rt::spawn(request.send_watched(move |chunk| {
            shown.borrow_mut().push_str(&String::from_utf8_lossy(chunk));
        }));
        self.calls.insert(name, Call { wanted, received, sent });
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
    ) -> Result<(Request, Wanted), datadriven::DataDrivenError> {
        let at = self.caller(case)?;
        let key = key_of(case)?;
        if let Some(body) = case.try_take_arg::<String>("bill")? {
            let mut request = Request::new("POST", at, "/bill").key(&key).body(body);
            if let Some(key) = case.try_take_arg::<String>("idempotency")? {
                request = request.header("idempotency-key", &key);
            }
            return Ok((request, Wanted::Receipt));
        }
        let prompt = case.take_arg::<String>("complete")?;
        let tokens = case.try_take_arg("tokens")?.unwrap_or(8);
        let stream = case.take_flag("stream")?;
        let body = completion(&prompt, tokens, stream);
        let request = Request::post(at, "/v1/completions", &body).key(&key);
        Ok((request, Wanted::Completion { prompt, tokens, stream }))
    }

    /// Runs the calls of the input at once; gives their outcomes, sorted, or
    /// just their number.
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
                other => panic!("can't race {other:?}"),
            };
            running.push(request.send());
        }
        let sent = futures_util::future::join_all(running).await;
        if case.take_flag("any-outcome")? {
            return Ok(format!("{} ended", sent.len()));
        }
        let mut outcomes: Vec<_> =
            sent.iter().map(|sent| self.outcome(&Wanted::Receipt, sent)).collect();
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
        let (answer, _) = eventually("the job is taken or refused for good", async || {
            let answer = request.clone().send().await.ok()?;
            (answer.status < 500).then_some(answer)
        })
        .await;
        if answer.status < 300 { Ok("accepted".into()) } else { Ok(refusal(&answer)) }
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
        self.fleet().kv.set(json!({"outage": on})).await;
        Ok("ok".into())
    }

    async fn lost_reply(&mut self, case: &mut TestCase) -> DirectiveResult {
        let count = case.try_take_arg::<u64>("count")?.unwrap_or(1);
        self.fleet().kv.set(json!({"lose_replies": count})).await;
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
            return Ok(self.outcome(&call.wanted, &sent));
        }
        if let Some(name) = case.try_take_arg::<String>("begun")? {
            return Ok(self.begun(&name).await);
        }
        if let Some(name) = case.try_take_arg::<String>("job")? {
            let (at, items) = (self.caller(case)?, case.take_arg("items")?);
            return Ok(job_done(at, &name, items).await);
        }
        if let Some(within) = case.try_take_arg::<u64>("refused-everywhere-within-ms")? {
            return Ok(self.refused_everywhere(within).await);
        }
        if let Some(vm) = case.try_take_arg::<String>("exit")? {
            let status = self.vm(&vm).process.ended().await;
            return Ok(format!("{status}"));
        }
        if let Some(prompt) = case.try_take_arg::<String>("cancelled")? {
            let within: u64 = case.take_arg("within-ms")?;
            return Ok(self.cancelled(&prompt, within).await);
        }
        if case.take_flag("serving")? {
            self.fleet().serving().await;
            return Ok("yes".into());
        }
        if case.take_flag("engines-lost")? {
            let engines = &mut self.fleet().engines;
            let alive = engines.iter_mut().map(|engine| engine.process.alive());
            return Ok(alive.filter(|alive| !alive).count().to_string());
        }
        if let Some(span) = case.try_take_arg::<u64>("no-new-runs-for-ms")? {
            return Ok(self.no_new_runs(Duration::from_millis(span)).await);
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

    async fn begun(&mut self, name: &str) -> String {
        let received = self.calls[name].received.clone();
        let begun = async || (!streamed_text(&received.borrow()).is_empty()).then_some(());
        eventually("the first token comes", begun).await;
        "yes".into()
    }

    async fn refused_everywhere(&mut self, within: u64) -> String {
        let since = self.withdrawn.expect("a key was withdrawn");
        let body = completion("after", 1, false);
        for vm in &mut self.fleet().entries {
            if !vm.process.alive() {
                continue;
            }
            let caller = vm.caller;
            eventually("the key is refused", async || {
                let call = Request::post(caller, "/v1/completions", &body).key(KEY);
                call.send().await.ok().filter(|answer| answer.status == 401)
            })
            .await;
        }
        let took = since.elapsed().as_millis() as u64;
        if took <= within { "yes".into() } else { format!("only after {took} ms") }
    }

    async fn cancelled(&mut self, prompt: &str, within: u64) -> String {
        let engines = &self.fleet().engines;
        let (_, took) = eventually(&format!("{prompt} is cancelled upstream"), async || {
            for engine in engines {
                let ids = engine.get("/standin/cancelled").await;
                if ids.as_array().is_some_and(|ids| ids.iter().any(|one| one["prompt"] == prompt)) {
                    return Some(());
                }
            }
            None
        })
        .await;
        if took.as_millis() as u64 <= within { "yes".into() } else { format!("after {took:?}") }
    }

    /// Completions that engines were asked for.
    async fn asked(&mut self) -> u64 {
        let mut asked = 0;
        for engine in &self.fleet().engines {
            let calls = engine.get("/standin/counters").await;
            asked += calls["/v1/completions"].as_u64().unwrap_or_default();
        }
        asked
    }

    async fn no_new_runs(&mut self, span: Duration) -> String {
        let before = self.asked().await;
        actix_rt::time::sleep(span).await;
        match self.asked().await - before {
            0 => "yes".into(),
            more => format!("{more} more"),
        }
    }

    /// Sends calls through every entry VM; counts those that an engine got.
    async fn unused_engine(&mut self, number: usize) -> String {
        let fleet = self.fleet();
        let asked = async || {
            let calls = fleet.engines[number].get("/standin/counters").await;
            calls["/v1/completions"].as_u64().unwrap_or_default()
        };
        let before = asked().await;
        for call in 0..CALLS {
            for vm in &fleet.entries {
                let body = completion(&format!("unused {call}"), 1, false);
                let call = Request::post(vm.caller, "/v1/completions", &body).key(KEY);
                let answer = call.send().await.expect("an answer");
                assert_eq!(answer.status, 200, "{}", answer.text());
            }
        }
        match asked().await - before {
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

    /// Runs at the plain services, by body.
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

    /// An answer in a few words.
    fn outcome(&self, wanted: &Wanted, sent: &Sent) -> String {
        let answer = match sent {
            Ok(answer) => answer,
            Err(_) => return "no answer".into(),
        };
        if answer.status >= 300 {
            return refusal(answer);
        }
        let Wanted::Completion { prompt, tokens, stream } = wanted else {
            return answer.status.to_string();
        };
        let text = match stream {
            true => answer.streamed(),
            false => answer.json()["choices"][0]["text"].as_str().map(str::to_owned),
        };
        let whole = text.as_deref() == Some(&token::answer(prompt, *tokens));
        if !whole {
            let body = answer.text();
            let tail = body.len().saturating_sub(PRINTED_BYTES);
            eprintln!("not the whole answer, it ends in: {}", body.get(tail..).unwrap_or(&body));
        }
        format!("{} {}", answer.status, if whole { "whole" } else { "not whole" })
    }
}

/// Calls sent through each entry VM to see where they go.
const CALLS: usize = 20;

/// Bytes of a wrong answer that a failed test prints.
const PRINTED_BYTES: usize = 600;

fn refusal(answer: &Answer) -> String {
    let problem = answer.json();
    let kind = problem["type"].as_str().unwrap_or_default();
    let kind = kind.rsplit(['/', ':', '#']).next().unwrap_or_default();
    format!("{} {kind} {}", answer.status, answer.run()).trim().to_owned()
}

/// Only whether the request was refused without a run.
fn briefly(outcome: &str) -> String {
    let refused = outcome.ends_with(" not-run");
    if refused { "refused not-run".into() } else { outcome.to_owned() }
}

fn key_of(case: &mut TestCase) -> Result<String, datadriven::DataDrivenError> {
    Ok(case.try_take_arg("key")?.unwrap_or_else(|| KEY.into()))
}

fn item(job: &str, number: u32, tokens: u32) -> String {
    let body = completion(&format!("{job} {number}"), tokens, false);
    json!({"custom_id": format!("item-{number}"), "body": body}).to_string()
}

/// Waits until a job has a result for each item; says how many have just one.
async fn job_done(at: std::net::SocketAddr, name: &str, items: usize) -> String {
    let path = format!("/v1/batches/{name}/results");
    let (results, _) = eventually("every item has a result", async || {
        let answer = Request::new("GET", at, &path).key(KEY).send().await.ok()?;
        let text = answer.text();
        (answer.status == 200 && text.lines().count() >= items).then_some(text)
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
