//! Tests of the smaller stand-ins over HTTP.

use std::time::Duration;

use actix_web::rt::{System, time};
use serde_json::{Value, json};
use standins::{plain, vms, weights};

#[test]
fn plain_counts_executions() {
    let plain = plain::start(plain::Options::default()).unwrap();
    System::new().block_on(async {
        let client = awc::Client::default();
        for run in 1..=2 {
            let url = format!("{}/any/path", plain.url());
            let request = client.post(url).insert_header(("x-request-id", "r1"));
            let receipt: Value = request.send_body("bill").await.unwrap().json().await.unwrap();
            assert_eq!(receipt, json!({"id": "r1", "run": run, "body": "bill"}));
        }
        let url = format!("{}/standin/counts", plain.url());
        let counts: Value = client.get(url).send().await.unwrap().json().await.unwrap();
        assert_eq!(counts, json!({"r1": 2}));
    });
}

#[test]
fn vms_lag() {
    let vms = vms::start(vms::Options { lag_ms: 200, ..vms::Options::default() }).unwrap();
    System::new().block_on(async {
        let client = awc::Client::default();
        let url = format!("{}/v1/vms", vms.url());
        let vm = json!({"vm": "e1", "data_centre": "porto", "address": null, "state": "live"});
        client.put(&url).send_json(&vm).await.unwrap();
        let list =
            async || -> Value { client.get(&url).send().await.unwrap().json().await.unwrap() };
        assert_eq!(list().await, json!([]));
        while list().await != json!([vm]) {
            time::sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn weights_limited() {
    let options = weights::Options { rate: 1.0, ..weights::Options::default() };
    let weights = weights::start(options).unwrap();
    System::new().block_on(async {
        let client = awc::Client::default();
        let url = format!("{}/v1/weights/m/1", weights.url());
        assert_eq!(client.get(&url).send().await.unwrap().status(), 200);
        let refused = client.get(&url).send().await.unwrap();
        assert_eq!(refused.status(), 429);
        assert_eq!(refused.headers().get("retry-after").unwrap(), "1");
    });
}
