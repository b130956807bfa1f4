//! Batch jobs from submission to results, on complete entry and store VMs in
//! one process.

mod fleet;

use std::collections::BTreeSet;

use awc::http::Method;
use fleet::{Fleet, KEY, OTHER_KEY, completions};
use standins::faults::Change;

#[actix_rt::test]
async fn submit_runs_every_item() {
    let fleet = Fleet::start().await;
    let body = completions(300);
    let accepted = fleet.submit(0, "certificates", &body).await;
    assert_eq!(accepted.status, 201, "{}", accepted.text);
    assert_eq!(accepted.json()["total"], 300);
    let progress = fleet.wait_for_end("certificates").await;
    assert_eq!(progress["phase"], "finished", "{progress}");
    assert_eq!(progress["succeeded"], 300, "{progress}");
    let results = fleet.results("certificates", 64).await;
    let names: BTreeSet<&str> =
        results.iter().filter_map(|line| line["custom_id"].as_str()).collect();
    assert_eq!((results.len(), names.len()), (300, 300), "every item has exactly one result");
    assert_eq!(fleet.results("certificates", 1_000).await, results, "results are immutable");
}

#[actix_rt::test]
async fn submit_repeated() {
    let fleet = Fleet::start().await;
    let first = fleet.submit(0, "again", &completions(3)).await;
    assert_eq!(first.status, 201, "{}", first.text);
    let repeated = fleet.submit(1, "again", &completions(3)).await;
    assert_eq!((repeated.status, repeated.json()["created"].as_bool()), (200, Some(false)));
    let other = fleet.submit(1, "again", &completions(4)).await;
    assert_eq!(other.status, 409, "{}", other.text);
    let missing = fleet.call(0, OTHER_KEY, Method::GET, "/v1/batches/again", String::new()).await;
    assert_eq!(missing.status, 404, "another organisation's job");
    let list = fleet.call(0, OTHER_KEY, Method::GET, "/v1/batches", String::new()).await;
    assert_eq!(list.json()["batches"].as_array().map(Vec::len), Some(0));
}

#[actix_rt::test]
async fn submit_store_lost() {
    let mut fleet = Fleet::start().await;
    let accepted = fleet.submit(0, "lost", &completions(200)).await;
    assert_eq!(accepted.status, 201, "{}", accepted.text);
    fleet.kill_store(0).await;
    fleet.replace_disk(0);
    let progress = fleet.wait_for_end("lost").await;
    assert_eq!(progress["succeeded"], 200, "{progress}");
    assert_eq!(fleet.results("lost", 1_000).await.len(), 200);
    fleet.start_store(0).await;
    assert_eq!(fleet.submit(1, "after", &completions(20)).await.status, 201);
    assert_eq!(fleet.wait_for_end("after").await["succeeded"], 20);
}

#[actix_rt::test]
async fn submit_platform_down() {
    let mut fleet = Fleet::start().await;
    // Creates the segments: each exists once it has accepted its first job.
    for name in 0..16 {
        let accepted = fleet.submit(0, &format!("first-{name}"), &completions(1)).await;
        assert_eq!(accepted.status, 201, "{}", accepted.text);
    }
    fleet.kv.set_faults(Change { outage: Some(true), ..Change::default() });
    let accepted = fleet.submit(0, "during", &completions(100)).await;
    assert_eq!(accepted.status, 201, "{}", accepted.text);
    let repeated = fleet.submit(1, "during", &completions(100)).await;
    assert_eq!(repeated.status, 200, "a repeated submission finds its job: {}", repeated.text);
    assert_eq!(fleet.wait_for_end("during").await["succeeded"], 100);
    fleet.restart_store(1).await;
    assert_eq!(fleet.results("during", 1_000).await.len(), 100);
}

#[actix_rt::test]
async fn submit_all_stores_restarted() {
    let mut fleet = Fleet::start().await;
    assert_eq!(fleet.submit(0, "kept", &completions(50)).await.status, 201);
    fleet.wait_for_end("kept").await;
    let before = fleet.results("kept", 1_000).await;
    for index in 0..3 {
        fleet.kill_store(index).await;
    }
    for index in 0..3 {
        fleet.start_store(index).await;
    }
    let repeated = fleet.submit(1, "kept", &completions(50)).await;
    assert_eq!(repeated.status, 200, "{}", repeated.text);
    assert_eq!(fleet.results("kept", 1_000).await, before, "results are immutable");
}

#[actix_rt::test]
async fn cancel_stops_items() {
    let fleet = Fleet::start().await;
    assert_eq!(fleet.submit(0, "stopped", &completions(20_000)).await.status, 201);
    let path = "/v1/batches/stopped/cancel";
    let cancelled = fleet.call(1, KEY, Method::POST, path, String::new()).await;
    assert_eq!(cancelled.status, 200, "{}", cancelled.text);
    let started = fleet.engine_requests();
    let progress = fleet.wait_for_end("stopped").await;
    assert_eq!(progress["phase"], "cancelled");
    // Another job completes; the cancelled one starts no further items.
    assert_eq!(fleet.submit(0, "next", &completions(10)).await.status, 201);
    fleet.wait_for_end("next").await;
    assert_eq!(fleet.engine_requests() - started, 10, "only items of the next job ran");
    assert_eq!(fleet.results("stopped", 1_000).await.len(), 20_000);
}

#[actix_rt::test]
async fn submit_malformed() {
    let fleet = Fleet::start().await;
    assert_eq!(fleet.submit(0, "first", &completions(1)).await.status, 201);
    for body in ["", "{}", "{\"custom_id\": \"a\", \"body\": {}}\nbroken"] {
        let refused = fleet.submit(0, "broken", body).await;
        assert!((400..500).contains(&refused.status), "{body}: {}", refused.text);
        let missing = fleet.get("/v1/batches/broken").await;
        assert_eq!(missing.status, 404, "nothing was accepted: {}", missing.text);
    }
    let twice = [completions(1), completions(1)].join("\n");
    assert_eq!(fleet.submit(0, "broken", &twice).await.status, 422);
}
