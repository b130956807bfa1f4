//! Batch jobs through whole entry and store VMs in one process.

mod fleet;

use std::collections::BTreeSet;

use awc::http::Method;
use fleet::{Fleet, OTHER_KEY, completions};

#[actix_rt::test]
async fn submit_runs_every_item() {
    let fleet = Fleet::start().await;
    let body = completions(300);
    let accepted = fleet.submit(0, "certificates", &body).await;
    assert_eq!(accepted.status, 201, "{}", accepted.text);
    assert_eq!(accepted.json()["total"], 300);
    let progress = fleet.wait_ended("certificates").await;
    assert_eq!(progress["phase"], "finished", "{progress}");
    assert_eq!(progress["succeeded"], 300, "{progress}");
    let results = fleet.results("certificates", 64).await;
    let names: BTreeSet<&str> =
        results.iter().filter_map(|line| line["custom_id"].as_str()).collect();
    assert_eq!((results.len(), names.len()), (300, 300), "each item once");
    assert_eq!(fleet.results("certificates", 1_000).await, results, "results never change");
}

#[actix_rt::test]
async fn submit_again() {
    let fleet = Fleet::start().await;
    let first = fleet.submit(0, "again", &completions(3)).await;
    assert_eq!(first.status, 201, "{}", first.text);
    let resent = fleet.submit(1, "again", &completions(3)).await;
    assert_eq!((resent.status, resent.json()["created"].as_bool()), (200, Some(false)));
    let other = fleet.submit(1, "again", &completions(4)).await;
    assert_eq!(other.status, 409, "{}", other.text);
    let hidden = fleet.call(0, OTHER_KEY, Method::GET, "/v1/batches/again", String::new()).await;
    assert_eq!(hidden.status, 404, "another organisation's job");
    let list = fleet.call(0, OTHER_KEY, Method::GET, "/v1/batches", String::new()).await;
    assert_eq!(list.json()["batches"].as_array().map(Vec::len), Some(0));
}

#[actix_rt::test]
async fn submit_store_lost() {
    let mut fleet = Fleet::start().await;
    let accepted = fleet.submit(0, "lost", &completions(200)).await;
    assert_eq!(accepted.status, 201, "{}", accepted.text);
    fleet.kill_store(0).await;
    fleet.lose_disk(0);
    let progress = fleet.wait_ended("lost").await;
    assert_eq!(progress["succeeded"], 200, "{progress}");
    assert_eq!(fleet.results("lost", 1_000).await.len(), 200);
    fleet.start_store(0).await;
    assert_eq!(fleet.submit(1, "after", &completions(20)).await.status, 201);
    assert_eq!(fleet.wait_ended("after").await["succeeded"], 20);
}
