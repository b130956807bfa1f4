//! Tests of the control thread with an in-memory key-value service.

mod support;

use std::rc::Rc;
use std::sync::Arc;

use parsleybeam::clock::Monotonic;
use parsleybeam::config::resource::{Kind, Organisation, Spec};
use parsleybeam::config::{Id, read_spec};
use parsleybeam::context::Context;
use parsleybeam::control::{self, Handle, Platform, Precondition, Settings, Update};
use parsleybeam::error;
use parsleybeam::view::{Role, Shared};
use parsleybeam::wire::Pool;
use serde_json::json;
use support::Memory;

fn start(memory: &Memory) -> (Handle, Context) {
    let context = Context {
        vm: "entry-1".into(),
        data_centre: "porto".into(),
        clock: Arc::new(Monotonic::new()),
        log: parsleybeam::log::silent(),
        shared: Shared::default(),
        peers: Pool::new("entry-1".into(), "a secret of the whole fleet".into()),
    };
    let settings = Settings {
        role: Role::Entry,
        peer: "127.0.0.1:1".parse().expect("address"),
        caller: None,
        prefix: "/fleet/".into(),
        seeds: Vec::new(),
    };
    let platform = Platform { key_value: Rc::new(memory.clone()), vm_list: None };
    let (handle, commands) = control::channel();
    control::start(context.clone(), settings, platform, commands);
    (handle, context)
}

fn id(name: &str) -> Id {
    Id { kind: Kind::Organisation, name: name.into() }
}

fn organisation(rate: f64) -> Spec {
    Spec::Organisation(Organisation { rate, burst: 10, weight: 1 })
}

#[actix_rt::test]
async fn write_in_force() {
    let (handle, context) = start(&Memory::default());
    let written = handle.write(id("norte"), Some(organisation(5.0)), Precondition::Any).await;
    let written = written.expect("written");
    assert!(written.accepted);
    assert!(context.shared.load().version >= written.resource.version);
    assert_eq!(context.shared.load().organisations[&"norte".into()].rate, 5.0);
    assert!(context.shared.contact.holds(context.clock.now()));
}

#[actix_rt::test]
async fn write_lost_reply_settled() {
    let memory = Memory::default();
    let (handle, _) = start(&memory);
    memory.lose_replies(1);
    let written = handle.write(id("norte"), Some(organisation(5.0)), Precondition::Absent).await;
    assert!(written.expect("resolved by the write identifier").accepted);
}

#[actix_rt::test]
async fn write_version_conflict() {
    let (handle, _) = start(&Memory::default());
    let first = handle.write(id("norte"), Some(organisation(5.0)), Precondition::Absent).await;
    let first = first.expect("written").resource.version;
    let spec = || Some(organisation(6.0));
    let second = handle.write(id("norte"), spec(), Precondition::Version(first)).await;
    assert!(second.is_ok());
    let late = handle.write(id("norte"), spec(), Precondition::Version(first)).await;
    assert_eq!(late.expect_err("changed since").kind, error::Kind::VersionConflict);
}

#[actix_rt::test]
async fn write_outage_refused() {
    let memory = Memory::default();
    let (handle, _) = start(&memory);
    memory.set_down(true);
    let result = handle.write(id("norte"), Some(organisation(5.0)), Precondition::Any).await;
    assert_eq!(result.expect_err("refused").kind, error::Kind::PlatformUnavailable);
}

#[actix_rt::test]
async fn watch_changes_and_deletions() {
    let (handle, _) = start(&Memory::default());
    let mut updates = handle.watch(Kind::Organisation, 0).await.expect("watch");
    assert_eq!(updates.recv().await, Some(Update::Bookmark(0)));
    let spec = Some(organisation(5.0));
    handle.write(id("norte"), spec, Precondition::Any).await.expect("written");
    handle.write(id("norte"), None, Precondition::Any).await.expect("deleted");
    let mut seen = Vec::new();
    while seen.len() < 2 {
        match updates.recv().await.expect("update") {
            Update::Changed(resource) => seen.push(resource.spec.is_some()),
            Update::Bookmark(_) => {}
        }
    }
    assert_eq!(seen, [true, false]);
    let deleted = handle.get(id("norte")).await.expect_err("deleted");
    assert_eq!(deleted.kind, error::Kind::NotFound);
}

#[test]
fn read_spec_names_field() {
    let refusals = [
        read_spec(Kind::Organisation, json!({"rate": "x", "burst": 1})),
        read_spec(Kind::Organisation, json!({"rate": 0.0, "burst": 1})),
        read_spec(Kind::Organisation, json!({"rate": 1.0, "burst": 0})),
        read_spec(Kind::Organisation, json!({"rate": 1.0, "burst": 1, "brust": 2})),
        read_spec(Kind::Key, json!({"organisation": "norte", "sha256": "00"})),
        read_spec(Kind::Route, json!({"path": "x", "target": "models"})),
        read_spec(Kind::Upstream, json!({"address": "localhost:1"})),
    ];
    let lines = refusals.map(|refusal| refusal.expect_err("refused").detail);
    insta::assert_snapshot!(lines.join("\n"));
}
