//! Load balancing, outlier ejection, prefix affinity, subsetting, retry budgets
//! and retry rules.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use parsleybeam::admission::{Pick, Ticket};
use parsleybeam::clock::Time;
use parsleybeam::config::resource::Serves;
use parsleybeam::error::{Error, Kind};
use parsleybeam::id::{Organisation, Upstream, Vm};
use parsleybeam::route::{
    Affinity, Balancer, Budget, CacheEvent, CacheKind, Health, Random, Report, Retry, RoundRobin,
    subset,
};
use parsleybeam::upstream::Failure;
use parsleybeam::view::Shared;

const PREFIX: u64 = 42;
const NOW: Time = Time(10_000_000);

fn names(count: usize) -> Vec<Upstream> {
    (0..count).map(|n| Upstream::from(format!("engine-{n}"))).collect()
}

fn ticket(prefix: Option<u64>) -> Ticket {
    Ticket {
        organisation: "limpa".into(),
        target: Serves::Model("m".into()),
        cost: 1,
        deadline: Time::NEVER,
        excluded: Vec::new(),
        exclusive: false,
        prefix,
    }
}

fn balancer() -> Balancer {
    let addresses = [([127, 0, 0, 1], 1).into(); 4];
    let shared = Shared::default();
    shared.view.store(std::sync::Arc::new(common::view(&addresses, &[])));
    Balancer::new("entry-0".into(), shared, 1)
}

fn stored(sequence: u64) -> CacheEvent {
    CacheEvent { sequence, kind: CacheKind::Stored, prefix: PREFIX }
}

fn counts(pick: &dyn Pick, ticket: &Ticket, free: &[Upstream]) -> HashMap<Upstream, u32> {
    let mut counts = HashMap::new();
    for n in 0..400 {
        // Far enough apart that earlier choices no longer count as load.
        let now = Time(NOW.0 + n * 1_000_000);
        *counts.entry(pick.pick(ticket, free, now).expect("an upstream is chosen")).or_default() +=
            1;
    }
    counts
}

#[test]
fn pick_least_loaded() {
    let (balancer, free) = (balancer(), names(2));
    for _ in 0..4 {
        balancer.started(&free[0]);
    }
    assert_eq!(counts(&balancer, &ticket(None), &free).get(&free[0]), None);
}

#[test]
fn pick_report_decays() {
    let (balancer, free) = (balancer(), names(2));
    balancer.record_load(&free[0], Report { running: 8, waiting: 8, at: NOW });
    assert_eq!(balancer.pick(&ticket(None), &free, NOW), Some(free[1].clone()));
    let later = NOW.after(Duration::from_secs(10));
    balancer.started(&free[1]);
    assert_eq!(balancer.pick(&ticket(None), &free, later), Some(free[0].clone()));
}

#[test]
fn pick_prefix_holder_unless_busy() {
    let (balancer, free) = (balancer(), names(4));
    balancer.record_cache_event(&free[2], stored(1));
    let ticket = ticket(Some(PREFIX));
    assert_eq!(counts(&balancer, &ticket, &free).get(&free[2]), Some(&400));
    for _ in 0..8 {
        balancer.started(&free[2]);
    }
    assert_eq!(counts(&balancer, &ticket, &free).get(&free[2]), None);
}

#[test]
fn pick_never_excluded() {
    let (balancer, free) = (balancer(), names(2));
    let mut ticket = ticket(None);
    ticket.excluded = vec![free[0].clone()];
    assert_eq!(counts(&balancer, &ticket, &free).get(&free[0]), None);
    ticket.excluded = free.clone();
    assert_eq!(balancer.pick(&ticket, &free, NOW), None);
}

#[test]
fn pick_ejected_only_if_all_ejected() {
    let (balancer, free) = (balancer(), names(3));
    balancer.connection_failed(&free[0], NOW);
    for _ in 0..100 {
        assert_ne!(balancer.pick(&ticket(None), &free, NOW), Some(free[0].clone()));
    }
    free.iter().for_each(|upstream| balancer.connection_failed(upstream, NOW));
    assert!(balancer.pick(&ticket(None), &free, NOW).is_some());
}

#[test]
fn pick_spreads_one_burst() {
    let (balancer, free) = (balancer(), names(4));
    let mut counts: HashMap<Upstream, u32> = HashMap::new();
    for _ in 0..40 {
        *counts
            .entry(balancer.pick(&ticket(None), &free, NOW).expect("an upstream is chosen"))
            .or_default() += 1;
    }
    assert!(free.iter().all(|upstream| (6..=14).contains(&counts[upstream])), "{counts:?}");
}

#[test]
fn pick_baselines() {
    let free = names(4);
    let round_robin = counts(&RoundRobin::default(), &ticket(None), &free);
    assert!(free.iter().all(|upstream| round_robin[upstream] == 100));
    let random = counts(&Random::new(1), &ticket(None), &free);
    assert!(free.iter().all(|upstream| random[upstream] > 50));
}

#[test]
fn health_ejection_and_ramp_up() {
    let mut health = Health::default();
    health.failed(NOW);
    health.failed(NOW);
    assert!(!health.ejected(NOW));
    health.failed(NOW);
    assert_eq!(health.weight_milli(NOW), 0);
    let ejection_end = NOW.after(Duration::from_secs(1));
    assert_eq!(health.weight_milli(ejection_end), 100);
    assert_eq!(health.weight_milli(ejection_end.after(Duration::from_secs(5))), 550);
    assert_eq!(health.weight_milli(ejection_end.after(Duration::from_secs(10))), 1_000);
    health.eject(ejection_end);
    assert!(health.ejected(ejection_end.after(Duration::from_millis(1_999))));
    assert!(!health.ejected(ejection_end.after(Duration::from_secs(2))));
}

#[test]
fn affinity_gap_drops_entries() {
    let mut affinity = Affinity::default();
    let engine = Upstream::from("engine-0");
    affinity.apply(&engine, stored(1));
    assert!(affinity.holds(&engine, PREFIX));
    affinity.apply(&engine, CacheEvent { sequence: 3, kind: CacheKind::Stored, prefix: 7 });
    assert!(!affinity.holds(&engine, PREFIX), "a gap may hide an eviction");
    assert!(affinity.holds(&engine, 7));
    affinity.apply(&engine, CacheEvent { sequence: 4, kind: CacheKind::Evicted, prefix: 7 });
    affinity.apply(&engine, CacheEvent { sequence: 3, kind: CacheKind::Stored, prefix: 7 });
    assert!(!affinity.holds(&engine, 7), "a late event must be ignored");
}

#[test]
fn subset_stable_after_removal() {
    let all = names(100);
    let vm = Vm::from("entry-0");
    let before: Vec<Upstream> = subset(&vm, &all, 16).into_iter().cloned().collect();
    let removed = before[3].clone();
    let rest: Vec<Upstream> = all.iter().filter(|name| **name != removed).cloned().collect();
    let after: Vec<Upstream> = subset(&vm, &rest, 16).into_iter().cloned().collect();
    assert_eq!(before.iter().filter(|name| !after.contains(name)).count(), 1);
    let other = subset(&Vm::from("entry-1"), &all, 16);
    assert!(before.iter().any(|name| !other.contains(&name)));
}

#[test]
fn budget_bounds_retries() {
    let mut budget = Budget::default();
    let (limpa, engine) = (Organisation::from("limpa"), Upstream::from("engine-0"));
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(&limpa, &engine, NOW);
        retries += u32::from(budget.withdraw(&limpa, &engine, NOW));
    }
    // A fifth of the requests, plus the initial balance of the account.
    assert!((200..=265).contains(&retries), "{retries}");
    let other = Organisation::from("other");
    assert!(!budget.withdraw(&other, &engine, NOW), "the upstream's budget is exhausted");
    assert!(budget.withdraw(&other, &Upstream::from("engine-1"), NOW));
    assert!(!budget.withdraw(&limpa, &Upstream::from("engine-1"), NOW));
    let later = NOW.after(Duration::from_secs(1));
    assert!(budget.withdraw(&limpa, &engine, later));
}

fn connection_broken() -> Failure {
    Failure::Sent(Error::new(Kind::OutcomeUnknown, "broke off"))
}

fn refused() -> Failure {
    Failure::NotSent(Error::new(Kind::UpstreamUnreachable, "refused"))
}

#[test]
fn retry_not_idempotent() {
    let mut retry = Retry::new(false, Time::NEVER);
    retry.start(NOW).expect("the first attempt is permitted");
    retry.failed(refused(), NOW, || true).expect("an unsent request may be retried");
    retry.start(NOW).expect("no attempt was sent");
    let error =
        retry.failed(connection_broken(), NOW, || true).expect_err("the request may have run");
    assert_eq!(error.kind, Kind::OutcomeUnknown);
}

#[test]
fn retry_not_run_only_if_unsent() {
    let mut retry = Retry::new(true, Time::NEVER);
    let overloaded = || Error::new(Kind::Overloaded, "full");
    assert_eq!(retry.caller_error(overloaded()).kind, Kind::Overloaded);
    retry.start(NOW).expect("an attempt is permitted");
    retry.failed(connection_broken(), NOW, || true).expect("an idempotent request may be retried");
    assert_eq!(retry.caller_error(overloaded()).kind, Kind::OutcomeUnknown);
    retry.start(NOW).expect("an attempt is permitted");
    let error = retry.failed(refused(), NOW, || false).expect_err("the budget is exhausted");
    assert_eq!(error.kind, Kind::OutcomeUnknown, "the first attempt may have run");
}

#[test]
fn retry_after_deadline() {
    let mut retry = Retry::new(true, NOW.after(Duration::from_secs(1)));
    retry.start(NOW).expect("an attempt is permitted");
    let late = NOW.after(Duration::from_secs(2));
    assert!(retry.failed(connection_broken(), late, || true).is_err());
    assert_eq!(retry.check_deadline(late).map_err(|error| error.kind), Err(Kind::DeadlineExceeded));
}
