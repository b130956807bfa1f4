//! The share-based rate limiter: several VMs with real connections and an in-memory key-value store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;
use parsleybeam::admission::capacity::Owners;
use parsleybeam::admission::share::{Shares, follow};
use parsleybeam::admission::{Limiter, Limits, home};
use parsleybeam::clock::{Monotonic, Time};
use parsleybeam::config::resource;
use parsleybeam::context::Context;
use parsleybeam::error::{Error, Kind, Result};
use parsleybeam::id::{Organisation, Vm};
use parsleybeam::kv::{Entry, KeyValue, LeaseId, Notice, Range, Swap, Swapped};
use parsleybeam::view::{Member, Role, Shared, State, View};
use parsleybeam::wire::{Dispatcher, Pool, Server};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const SECRET: &str = "a secret of the whole fleet";
const RATE: f64 = 20.0;
const BURST: u32 = 12;

#[derive(Default)]
struct MemoryStore {
    state: RefCell<(u64, BTreeMap<String, Entry>)>,
}

impl KeyValue for MemoryStore {
    fn range(&self, prefix: &str) -> LocalBoxFuture<'_, Result<Range>> {
        let state = self.state.borrow();
        let under = state.1.values().filter(|entry| entry.key.starts_with(prefix));
        let range = Range { version: state.0, entries: under.cloned().collect() };
        Box::pin(async move { Ok(range) })
    }

    fn swap(&self, swap: Swap) -> LocalBoxFuture<'_, Result<Swapped>> {
        let mut state = self.state.borrow_mut();
        let found = state.1.get(&swap.key).cloned();
        if found.as_ref().map_or(0, |entry| entry.version) != swap.expected {
            return Box::pin(async move { Ok(Swapped::Refused(found)) });
        }
        state.0 += 1;
        let version = state.0;
        let value = swap.value.unwrap_or_default();
        state.1.insert(swap.key.clone(), Entry { key: swap.key, value, version });
        Box::pin(async move { Ok(Swapped::Applied(version)) })
    }

    fn grant(&self, _: Duration) -> LocalBoxFuture<'_, Result<LeaseId>> {
        unused()
    }

    fn renew(&self, _: LeaseId) -> LocalBoxFuture<'_, Result<()>> {
        unused()
    }

    fn revoke(&self, _: LeaseId) -> LocalBoxFuture<'_, Result<()>> {
        unused()
    }

    fn watch(&self, _: &str, _: u64) -> LocalBoxFuture<'_, Result<mpsc::Receiver<Notice>>> {
        unused()
    }
}

fn unused<T>() -> LocalBoxFuture<'static, Result<T>> {
    Box::pin(async { Err(Error::new(Kind::Internal, "not used here")) })
}

fn organisation() -> Organisation {
    "ducts".into()
}

async fn fleet(count: u64) -> (Arc<View>, BTreeMap<Vm, Shares>) {
    let mut view = View::default();
    let mut listeners = Vec::new();
    for index in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let member = Member {
            vm: format!("entry-{index}").into(),
            incarnation: 1,
            role: Role::Entry,
            data_centre: ["porto", "braga", "viana"][index as usize % 3].into(),
            peer: listener.local_addr().expect("address"),
            caller: None,
            state: State::Live,
        };
        listeners.push((member.clone(), listener));
        view.members.insert(member.vm.clone(), member);
    }
    let spec = resource::Organisation { rate: RATE, burst: BURST, weight: 1 };
    view.organisations.insert(organisation(), spec);
    let view = Arc::new(view);
    let key_value: Rc<dyn KeyValue> = Rc::new(MemoryStore::default());
    let start = |(member, listener): (Member, TcpListener)| {
        let shared = Shared::default();
        shared.view.store(view.clone());
        shared.contact.set(Time::NEVER);
        let context = Context {
            vm: member.vm.clone(),
            data_centre: member.data_centre,
            clock: Arc::new(Monotonic::new()),
            log: parsleybeam::log::silent(),
            shared,
            peers: Pool::new(member.vm.clone(), SECRET.into()),
        };
        let shares = Shares::new(context.clone());
        let owners = Owners::new(context.clone());
        let limits = Limits { shares: shares.clone(), owners };
        let dispatcher = Dispatcher { limits: Some(Rc::new(limits)), ..Dispatcher::default() };
        let server =
            Server::new(member.vm.clone(), SECRET.into(), Rc::new(dispatcher), context.log);
        actix_rt::spawn(server.run(listener));
        actix_rt::spawn(follow(shares.clone(), key_value.clone(), None, "/test/".into()));
        (member.vm, shares)
    };
    let fleet = listeners.into_iter().map(start).collect();
    (view, fleet)
}

/// Retries at one VM until a token is granted.
async fn first_grant(shares: &Shares) {
    let start = Instant::now();
    while shares.take(&organisation()).await.is_err() {
        assert!(start.elapsed() < Duration::from_secs(60), "no token was granted within 60 s");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

#[actix_rt::test]
async fn take_borrows_without_a_slice() {
    let (view, fleet) = fleet(5).await;
    let homes = home::of(&view, &organisation());
    let other = fleet.iter().find(|(vm, _)| !homes.contains(vm)).expect("a VM without a slice");
    first_grant(other.1).await;
}

#[actix_rt::test]
async fn take_holds_rate_and_burst_across_vms() {
    let (_, fleet) = fleet(5).await;
    first_grant(fleet.values().next().expect("a VM")).await;
    let (start, mut granted) = (Instant::now(), 0_u32);
    while start.elapsed() < Duration::from_secs(3) {
        for shares in fleet.values() {
            granted += u32::from(shares.take(&organisation()).await.is_ok());
        }
    }
    let most = f64::from(BURST) + RATE * start.elapsed().as_secs_f64();
    assert!(f64::from(granted) <= most, "{granted} grants, at most {most} allowed");
    assert!(f64::from(granted) > RATE, "{granted} grants in three seconds");
}

#[actix_rt::test]
async fn take_refuses_with_retry_delay() {
    let (_, fleet) = fleet(2).await;
    let shares = fleet.values().next().expect("a VM");
    first_grant(shares).await;
    let refusal = loop {
        if let Err(error) = shares.take(&organisation()).await {
            break error;
        }
    };
    assert_eq!(refusal.kind, Kind::RateExceeded);
    let span = refusal.retry_after.expect("retry delay");
    assert!(span <= Duration::from_secs(1), "a token accrues every 100 ms on this VM: {span:?}");
}
