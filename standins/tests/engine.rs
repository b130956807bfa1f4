//! Tests of the engine stand-in over HTTP.

use std::future::Future;
use std::time::Duration;

use actix_web::rt::{System, time};
use serde_json::{Value, json};
use standins::engine::{self, Options, token};
use standins::faults::Change;
use standins::{Handle, record::REQUEST_ID};

const TIMEOUT: Duration = Duration::from_secs(20);

fn run<F: Future>(future: F) -> F::Output {
    System::new().block_on(async {
        time::timeout(TIMEOUT, future).await.expect("finished before the timeout")
    })
}

async fn post(engine: &Handle, id: &str, body: &Value) -> Result<String, String> {
    let client = awc::Client::builder().disable_timeout().finish();
    let request = client
        .post(format!("{}/v1/completions", engine.url()))
        .insert_header((REQUEST_ID, id))
        .send_json(body);
    let mut answer = request.await.map_err(|error| error.to_string())?;
    let body = answer.body().await.map_err(|error| error.to_string())?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

async fn get(engine: &Handle, path: &str) -> Value {
    let client = awc::Client::default();
    client.get(format!("{}{path}", engine.url())).send().await.unwrap().json().await.unwrap()
}

#[test]
fn complete_unstreamed() {
    let engine = engine::start(Options::default()).unwrap();
    let body = json!({"model": "m", "prompt": "duct", "max_tokens": 5});
    let answer: Value = serde_json::from_str(&run(post(&engine, "r1", &body)).unwrap()).unwrap();
    assert_eq!(answer["id"], "r1");
    assert_eq!(answer["choices"][0]["text"], token::answer("duct", 5));
}

#[test]
fn complete_resumed_stream() {
    let engine = engine::start(Options::default()).unwrap();
    let body =
        json!({"model": "m", "prompt": "duct", "max_tokens": 5, "stream": true, "resume_from": 3});
    let answer = run(post(&engine, "r1", &body)).unwrap();
    let events: Vec<_> = answer.split_terminator("\n\n").collect();
    assert_eq!(events.len(), 3);
    assert_eq!(events[2], "data: [DONE]");
    let first: Value = serde_json::from_str(events[0].strip_prefix("data: ").unwrap()).unwrap();
    assert_eq!((&first["id"], &first["position"]), (&json!("r1"), &json!(3)));
    assert_eq!(first["choices"][0]["text"], token::text("duct", 3));
}

#[test]
fn complete_poison() {
    let mut engine = engine::start(Options::default()).unwrap();
    let body = json!({"model": "m", "prompt": "a POISON", "max_tokens": 5});
    assert!(run(post(&engine, "r1", &body)).is_err());
    assert!(run(post(&engine, "r2", &json!({"model": "m", "prompt": "b"}))).is_err());
    engine.restart().unwrap();
    assert!(run(post(&engine, "r3", &json!({"model": "m", "prompt": "b"}))).is_ok());
}

#[test]
fn cancel_by_closing() {
    let engine = engine::start(Options { token_us: 50_000, ..Options::default() }).unwrap();
    run(async {
        let body = json!({"model": "m", "prompt": "duct", "max_tokens": 10_000});
        let started = time::timeout(Duration::from_millis(200), post(&engine, "r1", &body)).await;
        assert!(started.is_err(), "still running");
        while get(&engine, "/standin/cancelled").await != json!([{"id": "r1", "prompt": "duct"}]) {
            time::sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn cancel_by_identifier() {
    let engine = engine::start(Options { token_us: 50_000, ..Options::default() }).unwrap();
    run(async {
        let body = json!({"model": "m", "prompt": "duct", "max_tokens": 10_000});
        let cancel = async {
            let client = awc::Client::default();
            let url = format!("{}/v1/cancel", engine.url());
            loop {
                let sent = client.post(&url).send_json(&json!({"id": "r1"})).await;
                let response: Value = sent.unwrap().json().await.unwrap();
                if response["cancelled"] == true {
                    break;
                }
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        let (answer, ()) = futures_util::join!(post(&engine, "r1", &body), cancel);
        assert_eq!(answer.unwrap(), "cancelled");
    });
}

#[test]
fn order_old_fence() {
    let status = |fenced: bool| {
        let engine = engine::start(Options { fenced, ..Options::default() }).unwrap();
        run(async {
            let client = awc::Client::default();
            let url = format!("{}/v1/orders", engine.url());
            let order = |fence: u64| json!({"fence": fence, "action": "load", "model": "m", "version": fence.to_string()});
            client.post(&url).send_json(&order(2)).await.unwrap();
            let stale = client.post(&url).send_json(&order(1)).await.unwrap();
            (
                stale.status().as_u16(),
                get(&engine, "/v1/state").await["models"]["m"]["version"].clone(),
            )
        })
    };
    assert_eq!(status(true), (409, json!("2")));
    assert_eq!(status(false), (200, json!("1")));
}

#[test]
fn answer_crossed() {
    let engine = engine::start(Options::default()).unwrap();
    engine.set_faults(Change { cross_answers: Some(1), ..Change::default() });
    let body = json!({"model": "m", "prompt": "duct", "max_tokens": 5});
    let answer: Value = serde_json::from_str(&run(post(&engine, "r1", &body)).unwrap()).unwrap();
    assert_ne!(answer["id"], "r1");
}

#[test]
fn seen_key() {
    let engine = engine::start(Options::default()).unwrap();
    run(post(&engine, "r1", &json!({"model": "m", "prompt": "say sk-1"}))).unwrap();
    run(async {
        assert_eq!(get(&engine, "/standin/seen?key=sk-1").await["found"], true);
        assert_eq!(get(&engine, "/standin/seen?key=sk-2").await["found"], false);
        assert_eq!(get(&engine, "/standin/seen").await["runs"]["r1"], 1);
    });
}
