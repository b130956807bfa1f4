//! `demo --check`: everything once, through the real HTTP interfaces.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use awc::http::Method;
use serde_json::{Value, json};

use super::client::Client;
use super::fleet::{Fleet, KEY, MODEL};
use crate::command::Failure;

/// Items of the batch job.
const ITEMS: usize = 100;
/// Bound on the batch job.
const JOB_TIMEOUT: Duration = Duration::from_secs(12);
/// Bound on a withdrawn key, from the promise.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two looks at a state that is waited for.
const POLL: Duration = Duration::from_millis(50);

/// Runs every step; prints a line for each.
pub async fn run(fleet: &Fleet) -> Result<(), Failure> {
    let caller = steered(fleet).await?;
    report("online answer", whole(&caller).await)?;
    report("streamed answer", streamed(&caller).await)?;
    report("batch job", job(&caller).await)?;
    report("key withdrawal", withdrawal(fleet, &caller).await)
}

fn report(step: &str, outcome: Result<String, Failure>) -> Result<(), Failure> {
    match outcome {
        Ok(line) => {
            println!("ok    {step}: {line}");
            Ok(())
        }
        Err(failure) => {
            println!("FAIL  {step}: {failure}");
            Err(Failure::Refused(format!("{step} failed")))
        }
    }
}

/// Asks the system which address to use, as every caller does.
async fn steered(fleet: &Fleet) -> Result<Client, Failure> {
    let answer = Client::new(fleet.caller(), KEY).get("/v1/entries").await?.success("entries")?;
    let address =
        answer.json()?["entries"][0]["address"].as_str().and_then(|text| text.parse().ok());
    let address = address.ok_or_else(|| Failure::Refused("no entry is named".into()))?;
    Ok(Client::new(address, KEY))
}

fn completion(stream: bool) -> Value {
    json!({"model": MODEL, "prompt": "grease reading 3 mm", "max_tokens": 16, "stream": stream})
}

async fn whole(caller: &Client) -> Result<String, Failure> {
    let answer = caller.post("/v1/completions", &completion(false)).await?.success("call")?;
    let text = answer.json()?["choices"][0]["text"].as_str().map(str::len).unwrap_or_default();
    match text {
        0 => Err(Failure::Refused(format!("no text in {}", answer.text))),
        length => Ok(format!("{length} characters")),
    }
}

async fn streamed(caller: &Client) -> Result<String, Failure> {
    let answer = caller.post("/v1/completions", &completion(true)).await?.success("call")?;
    let events = answer.text.lines().filter(|line| line.starts_with("data: ")).count();
    if !answer.text.trim_end().ends_with("data: [DONE]") {
        return Err(Failure::Refused("the stream has no end".into()));
    }
    Ok(format!("{events} events"))
}

async fn job(caller: &Client) -> Result<String, Failure> {
    let path = "/v1/batches?name=demo&path=/v1/completions";
    let line = |index| {
        let body =
            json!({"model": MODEL, "prompt": format!("certificate {index}"), "max_tokens": 4});
        json!({"custom_id": format!("item-{index}"), "body": body}).to_string()
    };
    let body: Vec<String> = (0..ITEMS).map(line).collect();
    let started = Instant::now();
    caller.call(Method::POST, path, body.join("\n")).await?.success("submit")?;
    while started.elapsed() < JOB_TIMEOUT {
        let status = caller.get("/v1/batches/demo").await?.success("status")?.json()?;
        if status["phase"] == "finished" {
            return results(caller, started).await;
        }
        tokio::time::sleep(POLL).await;
    }
    let status = caller.get("/v1/batches/demo").await?;
    Err(Failure::Refused(format!("not done in {JOB_TIMEOUT:?}: {}", status.text)))
}

async fn results(caller: &Client, started: Instant) -> Result<String, Failure> {
    let answer = caller.get("/v1/batches/demo/results").await?.success("results")?;
    let id = |line: &str| {
        let value: Value = serde_json::from_str(line).ok()?;
        Some(value["custom_id"].as_str()?.to_owned())
    };
    let ids: Vec<String> = answer.text.lines().filter_map(id).collect();
    let distinct: HashSet<&String> = ids.iter().collect();
    if ids.len() != ITEMS || distinct.len() != ITEMS {
        return Err(Failure::Refused(format!("{} results, {} ids", ids.len(), distinct.len())));
    }
    Ok(format!("{ITEMS} items, each once, in {} ms", started.elapsed().as_millis()))
}

async fn withdrawal(fleet: &Fleet, caller: &Client) -> Result<String, Failure> {
    fleet
        .operator_client()
        .call(Method::DELETE, "/api/v1/keys/demo", String::new())
        .await?
        .success("withdraw")?;
    let accepted = Instant::now();
    while accepted.elapsed() < WITHDRAWAL_TIMEOUT {
        let answer = caller.post("/v1/completions", &completion(false)).await?;
        if answer.status == 401 {
            return Ok(format!("refused {} ms after acceptance", accepted.elapsed().as_millis()));
        }
        tokio::time::sleep(POLL).await;
    }
    Err(Failure::Refused("the withdrawn key still works".into()))
}
