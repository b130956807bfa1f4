//! Tests of the key-value stand-in over HTTP.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use standins::faults::Change;
use standins::{Handle, kv};

const TIMEOUT: Duration = Duration::from_secs(20);

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

fn open(kv: &Handle, path: &str, body: &Value) -> TcpStream {
    let mut stream = TcpStream::connect(kv.address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let body = body.to_string();
    let headers = format!("POST {path} HTTP/1.1\r\nhost: kv\r\nconnection: close\r\n");
    write!(
        stream,
        "{headers}content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    stream
}

/// Returns the body of the response; `None` if the connection was closed without one.
fn post(kv: &Handle, path: &str, body: &Value) -> Option<Value> {
    let mut text = String::new();
    let _ = open(kv, path, body).read_to_string(&mut text);
    let (_, body) = text.split_once("\r\n\r\n")?;
    serde_json::from_str(body).ok()
}

fn compare_and_put(kv: &Handle, expected: &str, value: &str) -> Option<Value> {
    let txn = json!({
        "compare": [{"key": b64("k"), "target": "MOD", "result": "EQUAL", "mod_revision": expected}],
        "success": [{"request_put": {"key": b64("k"), "value": b64(value)}}],
        "failure": [{"request_range": {"key": b64("k")}}],
    });
    post(kv, "/v3/kv/txn", &txn)
}

fn value(kv: &Handle) -> Value {
    post(kv, "/v3/kv/range", &json!({"key": b64("k")})).unwrap()["kvs"][0]["value"].clone()
}

/// Returns the JSON messages of a watch stream; chunk sizes and headers are skipped.
fn messages(stream: TcpStream) -> impl Iterator<Item = Value> {
    BufReader::new(stream).lines().map_while(Result::ok).filter_map(|line| {
        serde_json::from_str::<Value>(&line).ok().filter(|value| value.is_object())
    })
}

#[test]
fn txn_stale_revision() {
    let kv = kv::start(kv::Options::default()).unwrap();
    assert_eq!(compare_and_put(&kv, "0", "one").unwrap()["succeeded"], true);
    let refused = compare_and_put(&kv, "0", "two").unwrap();
    assert_eq!(refused["succeeded"], Value::Null);
    assert_eq!(refused["responses"][0]["response_range"]["kvs"][0]["value"], b64("one"));
    assert_eq!(value(&kv), b64("one"));
}

#[test]
fn txn_lost_reply() {
    let kv = kv::start(kv::Options::default()).unwrap();
    kv.set_faults(Change { lose_replies: Some(1), ..Change::default() });
    assert_eq!(compare_and_put(&kv, "0", "one"), None);
    assert_eq!(value(&kv), b64("one"));
}

#[test]
fn txn_outage() {
    let kv = kv::start(kv::Options::default()).unwrap();
    kv.set_faults(Change { outage: Some(true), ..Change::default() });
    assert_eq!(compare_and_put(&kv, "0", "one"), None);
    kv.set_faults(Change { outage: Some(false), ..Change::default() });
    assert_eq!(value(&kv), Value::Null);
}

#[test]
fn lease_expires() {
    let kv = kv::start(kv::Options::default()).unwrap();
    let lease = post(&kv, "/v3/lease/grant", &json!({"TTL": "1"})).unwrap()["ID"].clone();
    let put = json!({"key": b64("k"), "value": b64("v"), "lease": lease});
    post(&kv, "/v3/kv/put", &put).unwrap();
    let watch = json!({"create_request": {"key": b64("k"), "start_revision": "1"}});
    let mut events = messages(open(&kv, "/v3/watch", &watch));
    let deletion = events.find(|line| line["result"]["events"][0]["type"] == "DELETE").unwrap();
    assert_eq!(deletion["result"]["events"][0]["kv"]["key"], b64("k"));
    let renewed = post(&kv, "/v3/lease/keepalive", &json!({"ID": lease})).unwrap();
    assert_eq!(renewed["result"]["TTL"], Value::Null);
}

#[test]
fn watch_from_revision() {
    let kv = kv::start(kv::Options::default()).unwrap();
    compare_and_put(&kv, "0", "one").unwrap();
    let watch = json!({"create_request":
        {"key": b64("k"), "range_end": b64("l"), "start_revision": "2", "progress_notify": true}});
    let mut received = messages(open(&kv, "/v3/watch", &watch));
    assert_eq!(received.next().unwrap()["result"]["created"], true);
    assert_eq!(received.next().unwrap()["result"]["events"][0]["kv"]["value"], b64("one"));
    compare_and_put(&kv, "2", "two").unwrap();
    assert_eq!(received.next().unwrap()["result"]["events"][0]["kv"]["value"], b64("two"));
    let progress = received.next().unwrap();
    assert_eq!(progress["result"]["header"]["revision"], "3");
    assert_eq!(progress["result"]["events"], Value::Null);
}

#[test]
fn watch_compacted() {
    let kv = kv::start(kv::Options::default()).unwrap();
    compare_and_put(&kv, "0", "one").unwrap();
    compare_and_put(&kv, "2", "two").unwrap();
    post(&kv, "/v3/kv/compaction", &json!({"revision": "3"})).unwrap();
    let watch = json!({"create_request": {"key": b64("k"), "start_revision": "2"}});
    let mut received = messages(open(&kv, "/v3/watch", &watch));
    let ended = received.find(|line| line["result"]["canceled"] == true).unwrap();
    assert_eq!(ended["result"]["compact_revision"], "3");
}
