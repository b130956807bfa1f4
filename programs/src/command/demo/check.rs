//! `demo --check`: tests each feature of the demo fleet once over HTTP.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use awc::http::Method;
use serde_json::{Value, json};

use super::client::Client;
use super::fleet::{Fleet, KEY, MODEL};
use crate::command::Failure;

/// Number of items of the batch job.
const ITEMS: usize = 100;
/// Time within which the batch job must finish.
const JOB_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which a withdrawn key must be refused. This is the limit that parsleybeam promises.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Polling interval while waiting for a state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the steps in order and prints a line for each; stops at the first failure.
pub async fn run(fleet: &Fleet) -> Result<(), Failure> {
    let caller = discover_entry(fleet).await?;
    report("online answer", complete(&caller).await)?;
    report("streamed answer", complete_streaming(&caller).await)?;
    report("batch job", run_job(&caller).await)?;
    report("key withdrawal", withdraw_key(fleet, &caller).await)
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

/// Queries the fleet for the entry address to use, as callers do.
async fn discover_entry(fleet: &Fleet) -> Result<Client, Failure> {
    let response = Client::new(fleet.caller(), KEY).get("/v1/entries").await?.success("entries")?;
    let address =
        response.json()?["entries"][0]["address"].as_str().and_then(|text| text.parse().ok());
    let address =
        address.ok_or_else(|| Failure::Refused("the fleet returned no entry address".into()))?;
    Ok(Client::new(address, KEY))
}

fn completion_body(stream: bool) -> Value {
    json!({"model": MODEL, "prompt": "grease reading 3 mm", "max_tokens": 16, "stream": stream})
}

async fn complete(caller: &Client) -> Result<String, Failure> {
    let response =
        caller.post("/v1/completions", &completion_body(false)).await?.success("call")?;
    let text = response.json()?["choices"][0]["text"].as_str().map(str::len).unwrap_or_default();
    match text {
        0 => Err(Failure::Refused(format!("the response has no text: {}", response.text))),
        length => Ok(format!("{length} characters")),
    }
}

async fn complete_streaming(caller: &Client) -> Result<String, Failure> {
    let response = caller.post("/v1/completions", &completion_body(true)).await?.success("call")?;
    let events = response.text.lines().filter(|line| line.starts_with("data: ")).count();
    if !response.text.trim_end().ends_with("data: [DONE]") {
        return Err(Failure::Refused("the stream ended without [DONE]".into()));
    }
    Ok(format!("{events} events"))
}

async fn run_job(caller: &Client) -> Result<String, Failure> {
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
            return check_results(caller, started).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let status = caller.get("/v1/batches/demo").await?;
    Err(Failure::Refused(format!("the job did not finish within {JOB_TIMEOUT:?}: {}", status.text)))
}

async fn check_results(caller: &Client, started: Instant) -> Result<String, Failure> {
    let response = caller.get("/v1/batches/demo/results").await?.success("results")?;
    let id = |line: &str| {
        let value: Value = serde_json::from_str(line).ok()?;
        Some(value["custom_id"].as_str()?.to_owned())
    };
    let ids: Vec<String> = response.text.lines().filter_map(id).collect();
    let distinct: HashSet<&String> = ids.iter().collect();
    if ids.len() != ITEMS || distinct.len() != ITEMS {
        return Err(Failure::Refused(format!(
            "got {} results with {} distinct ids",
            ids.len(),
            distinct.len()
        )));
    }
    Ok(format!("{ITEMS} items, each once, in {} ms", started.elapsed().as_millis()))
}

async fn withdraw_key(fleet: &Fleet, caller: &Client) -> Result<String, Failure> {
    fleet
        .operator_client()
        .call(Method::DELETE, "/api/v1/keys/demo", String::new())
        .await?
        .success("withdraw")?;
    let accepted = Instant::now();
    while accepted.elapsed() < WITHDRAWAL_TIMEOUT {
        let response = caller.post("/v1/completions", &completion_body(false)).await?;
        if response.status == 401 {
            return Ok(format!("refused {} ms after acceptance", accepted.elapsed().as_millis()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(Failure::Refused("the withdrawn key is still accepted".into()))
}
