//! Key-value client against a stand-in for etcd's gateway.

use std::time::Duration;

use parsleybeam::error::Kind;
use parsleybeam::kv::{Etcd, KeyValue, Notice, Swap, Swapped};
use standins::{Handle, faults::Change, kv};

fn start() -> (Handle, Etcd) {
    let service = kv::start(kv::Options::default()).expect("started");
    let client = Etcd::new(vec![service.address]);
    (service, client)
}

fn put(key: &str, expected: u64, value: &str) -> Swap {
    Swap { key: key.into(), expected, value: Some(value.into()), lease: None }
}

async fn apply(client: &Etcd, swap: Swap) -> u64 {
    match client.swap_marked(swap, "/head").await {
        Ok(Swapped::Applied(version)) => version,
        other => panic!("not applied: {other:?}"),
    }
}

#[actix_rt::test]
async fn swap_expected_version() {
    let (_service, client) = start();
    let first = apply(&client, put("/a/1", 0, "one")).await;
    let second = apply(&client, put("/a/1", first, "two")).await;
    let refused = client.swap(put("/a/1", first, "three")).await.expect("answered");
    let Swapped::Refused(Some(found)) = refused else { panic!("{refused:?}") };
    assert_eq!((found.version, found.value.as_slice()), (second, b"two".as_slice()));
    let marker = client.get("/head").await.expect("read").expect("marker");
    assert_eq!(marker.version, second, "the marker must have the version of the last swap");
}

#[actix_rt::test]
async fn since_later_only() {
    let (_service, client) = start();
    let first = apply(&client, put("/a/1", 0, "one")).await;
    let second = apply(&client, put("/a/2", 0, "two")).await;
    apply(&client, put("/b/1", 0, "three")).await;
    let range = client.since("/a/", first).await.expect("read");
    let found: Vec<_> = range.entries.iter().map(|e| (e.key.as_str(), e.version)).collect();
    assert_eq!(found, [("/a/2", second)]);
    assert_eq!(client.range("/a/").await.expect("read").entries.len(), 2);
}

#[actix_rt::test]
async fn swap_reply_lost() {
    let (service, client) = start();
    service.set_faults(Change { lose_replies: Some(1), ..Change::default() });
    let error = client.swap(put("/a/1", 0, "one")).await.expect_err("the reply is dropped");
    assert_eq!(error.kind, Kind::WriteUnknown);
    let entry = client.get("/a/1").await.expect("read").expect("the write must have been applied");
    assert_eq!(entry.value, b"one");
}

#[actix_rt::test]
async fn swap_service_down() {
    let (mut service, client) = start();
    service.crash();
    let error = client.swap(put("/a/1", 0, "one")).await.expect_err("the service is down");
    assert_eq!(
        error.kind,
        Kind::PlatformUnavailable,
        "a refused connection can't have applied the write"
    );
}

#[actix_rt::test]
async fn get_outage() {
    let (service, client) = start();
    service.set_faults(Change { outage: Some(true), ..Change::default() });
    let error = client.get("/a/1").await.expect_err("the service is unavailable");
    assert_eq!(error.kind, Kind::PlatformUnavailable);
    service.set_faults(Change { outage: Some(false), ..Change::default() });
    assert_eq!(client.get("/a/1").await, Ok(None));
}

#[actix_rt::test]
async fn watch_changes_then_too_old() {
    let (service, client) = start();
    let first = apply(&client, put("/a/1", 0, "one")).await;
    let mut notices = client.watch("/a/", first).await.expect("watch");
    let second = apply(&client, put("/a/1", first, "two")).await;
    let mut seen = Vec::new();
    while seen.len() < 2 {
        if let Notice::Changes(changes) = notices.recv().await.expect("notice") {
            seen.extend(changes.into_iter().map(|change| change.version));
        }
    }
    assert_eq!(seen, [first, second]);
    compact(&service, second).await;
    let mut late = client.watch("/a/", first).await.expect("watch");
    loop {
        match late.recv().await.expect("notice") {
            Notice::TooOld => break,
            Notice::Progress(_) => {}
            Notice::Changes(changes) => panic!("changes of compacted versions: {changes:?}"),
        }
    }
}

async fn compact(service: &Handle, revision: u64) {
    let url = format!("http://{}/v3/kv/compaction", service.address);
    let body = serde_json::json!({ "revision": revision.to_string() });
    let answer = awc::Client::default().post(url).send_json(&body).await.expect("compacted");
    assert!(answer.status().is_success());
}

#[actix_rt::test]
async fn lease_expires() {
    let (_service, client) = start();
    let lease = client.grant(Duration::from_secs(1)).await.expect("granted");
    client.renew(lease).await.expect("renewed");
    let swap = Swap { lease: Some(lease), ..put("/vms/1", 0, "porto") };
    assert!(matches!(client.swap(swap).await, Ok(Swapped::Applied(_))));
    let mut notices = client.watch("/vms/", 0).await.expect("watch");
    loop {
        match notices.recv().await.expect("notice") {
            Notice::Changes(changes) if changes[0].value.is_none() => break,
            _ => {}
        }
    }
    let error = client.renew(lease).await.expect_err("the lease has expired");
    assert_eq!(error.kind, Kind::NotFound);
}
