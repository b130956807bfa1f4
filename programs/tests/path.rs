//! The whole path in separate processes: an online answer, whole and streamed.

mod common;

use common::client::{Request, completion};
use common::fleet::{Fleet, KEY, Plan};
use common::run;
use standins::engine::token;

#[test]
fn path_online() {
    run(async {
        let fleet = Fleet::start(Plan::default()).await;
        fleet.furnish().await;
        fleet.serving().await;
        online(&fleet).await;
    });
}

async fn online(fleet: &Fleet) {
    let listed = Request::new("GET", fleet.entries[0].caller, "/v1/entries").key(KEY);
    let listed = listed.send().await.expect("entries").json();
    assert_eq!(listed["entries"].as_array().map(Vec::len), Some(fleet.entries.len()));
    for entry in listed["entries"].as_array().expect("a list") {
        let address = entry["address"].as_str().expect("an address").parse().expect("an address");
        let whole = Request::post(address, "/v1/completions", &completion("duct", 8, false));
        let whole = whole.key(KEY).send().await.expect("an answer");
        assert_eq!(whole.json()["choices"][0]["text"], token::answer("duct", 8));
        let stream = Request::post(address, "/v1/completions", &completion("hood", 8, true));
        let stream = stream.key(KEY).send().await.expect("an answer");
        assert_eq!(stream.streamed(), Some(token::answer("hood", 8)));
    }
    for engine in &fleet.engines {
        assert_eq!(engine.get(&format!("/standin/seen?key={KEY}")).await["found"], false);
    }
}
