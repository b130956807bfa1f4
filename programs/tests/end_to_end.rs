//! End to end in separate processes: online requests and a batch job.

mod common;

use common::client::{Request, completion};
use common::fleet::{Fleet, KEY, Topology};
use common::{eventually, run};
use standins::engine::token;

/// Number of items of the batch job.
const ITEMS: u32 = 20;

#[test]
fn end_to_end_online_and_batch() {
    run(async {
        let fleet = Fleet::start(Topology::default()).await;
        fleet.create_resources().await;
        fleet.wait_serving().await;
        check_online(&fleet).await;
        check_batch(&fleet).await;
    });
}

async fn check_online(fleet: &Fleet) {
    let listed = Request::new("GET", fleet.entries[0].caller, "/v1/entries").key(KEY);
    let listed = listed.send().await.expect("a response").json();
    assert_eq!(listed["entries"].as_array().map(Vec::len), Some(fleet.entries.len()));
    for entry in listed["entries"].as_array().expect("a list") {
        let address = entry["address"].as_str().expect("an address").parse().expect("an address");
        let response = Request::post(address, "/v1/completions", &completion("duct", 8, false));
        let response = response.key(KEY).send().await.expect("a response");
        assert_eq!(response.json()["choices"][0]["text"], token::answer("duct", 8));
        let stream = Request::post(address, "/v1/completions", &completion("hood", 8, true));
        let stream = stream.key(KEY).send().await.expect("a response");
        assert_eq!(stream.stream_text(), Some(token::answer("hood", 8)));
    }
    for engine in &fleet.engines {
        assert_eq!(engine.get(&format!("/standin/seen?key={KEY}")).await["found"], false);
    }
}

async fn check_batch(fleet: &Fleet) {
    let lines: Vec<String> = (0..ITEMS).map(item).collect();
    let post = Request::new(
        "POST",
        fleet.entries[0].caller,
        "/v1/batches?name=certificates&path=/v1/completions",
    );
    let post = post.key(KEY).body(lines.join("\n"));
    let (accepted, _) = eventually("the job is accepted", async || {
        post.clone().send().await.ok().filter(|response| response.status < 300)
    })
    .await;
    assert_eq!(accepted.json()["name"], "certificates", "{}", accepted.text());
    let (results, _) = eventually("all items are done", async || {
        let path = "/v1/batches/certificates/results";
        let get = Request::new("GET", fleet.entries[1].caller, path).key(KEY);
        let text = get.send().await.ok().filter(|response| response.status == 200)?.text();
        (text.lines().count() >= ITEMS as usize).then_some(text)
    })
    .await;
    for number in 0..ITEMS {
        let expected = token::answer(&format!("certificate {number}"), 4);
        let found = results.lines().filter(|line| {
            line.contains(&format!("\"item-{number}\"")) && line.contains(&expected)
        });
        assert_eq!(found.count(), 1, "item {number} in\n{results}");
    }
}

fn item(number: u32) -> String {
    let body = completion(&format!("certificate {number}"), 4, false);
    serde_json::json!({"custom_id": format!("item-{number}"), "body": body}).to_string()
}
