//! Requests that crash upstreams, met by several VMs at once.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{context, wait_until};
use parsleybeam::clock::Time;
use parsleybeam::context::Context;
use parsleybeam::error::Kind;
use parsleybeam::id::Vm;
use parsleybeam::route::{Fingerprint, Quarantine};
use parsleybeam::view::{Member, Role, State, View};
use parsleybeam::wire::{Handler, Pool, Server};
use tokio::net::TcpListener;

const SECRET: &str = "a secret of the whole fleet";
const VMS: usize = 4;

struct Fleet {
    vms: Vec<(Context, Quarantine)>,
}

fn member(vm: &Vm, peer: SocketAddr) -> Member {
    Member {
        vm: vm.clone(),
        incarnation: 1,
        role: Role::Entry,
        data_centre: "porto".into(),
        peer,
        caller: None,
        state: State::Live,
    }
}

/// VMs that know each other; those of `gone` don't answer.
async fn fleet(gone: &[usize]) -> Fleet {
    let mut view = View::default();
    let mut parts = Vec::new();
    for n in 0..VMS {
        let vm = Vm::from(format!("entry-{n}"));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        view.members.insert(vm.clone(), member(&vm, listener.local_addr().expect("address")));
        parts.push((vm, listener));
    }
    let mut vms = Vec::new();
    for (n, (vm, listener)) in parts.into_iter().enumerate() {
        let mut context = context(view.clone());
        context.peers = Pool::new(vm.clone(), SECRET.into());
        context.vm = vm.clone();
        let quarantine = Quarantine::with_timeout(context.clone(), Duration::from_secs(5));
        actix_rt::spawn(quarantine.clone().run());
        if gone.contains(&n) {
            drop(listener);
        } else {
            let handler: Rc<dyn Handler> = Rc::new(quarantine.clone());
            let server = Server::new(vm, SECRET.into(), handler, parsleybeam::log::silent());
            actix_rt::spawn(server.run(listener));
        }
        vms.push((context, quarantine));
    }
    Fleet { vms }
}

impl Fleet {
    fn at(&self, n: usize) -> &Quarantine {
        &self.vms[n].1
    }

    fn deadline(&self, millis: u64) -> Time {
        self.vms[0].0.clock.now().after(Duration::from_millis(millis))
    }
}

#[actix_rt::test]
async fn begin_after_two_deaths() {
    for n in 0..8 {
        let print = Fingerprint(n);
        let fleet = fleet(&[]).await;
        let deadline = fleet.deadline(5_000);
        let first = fleet.at(0).begin(print, deadline).await.expect("the first run");
        assert!(!first.alone());
        first.crashed().await;
        let second = fleet.at(1).begin(print, deadline).await.expect("the second run");
        assert!(second.alone());
        second.crashed().await;
        let refused = fleet.at(2).begin(print, deadline).await.err().expect("a refusal");
        assert_eq!(refused.kind, Kind::Quarantined);
        wait_until("all are told", || fleet.vms.iter().all(|(_, it)| it.check(print).is_err()))
            .await;
    }
}

#[actix_rt::test]
async fn begin_bounded_at_once() {
    for n in 0..8 {
        let print = Fingerprint(n);
        let fleet = fleet(&[]).await;
        let long = fleet.deadline(5_000);
        let first = fleet.at(0).begin(print, long).await.expect("the first run");
        let second = fleet.at(1).begin(print, long).await.expect("the second run");
        let refused = fleet.at(2).begin(print, fleet.deadline(60)).await.err().expect("a refusal");
        assert_eq!(refused.kind, Kind::InProgress);
        first.completed();
        second.completed();
        let third = fleet.at(2).begin(print, fleet.deadline(5_000)).await;
        assert!(third.is_ok_and(|guard| !guard.alone()));
    }
}

#[actix_rt::test]
async fn begin_keeper_gone() {
    for gone in 0..VMS {
        let fleet = fleet(&[gone]).await;
        let print = Fingerprint(3);
        let up: Vec<usize> = (0..VMS).filter(|n| *n != gone).collect();
        let first = fleet.at(up[0]).begin(print, fleet.deadline(5_000)).await.expect("a run");
        first.crashed().await;
        let second = fleet.at(up[1]).begin(print, fleet.deadline(5_000)).await.expect("a run");
        assert!(second.alone());
        second.crashed().await;
        let refused = fleet.at(up[2]).begin(print, fleet.deadline(5_000)).await;
        assert_eq!(refused.err().map(|error| error.kind), Some(Kind::Quarantined));
    }
}

#[actix_rt::test]
async fn drop_after_send_looks_for_upstream() {
    let fleet = fleet(&[]).await;
    let print = Fingerprint(9);
    let upstream = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = upstream.local_addr().expect("address");
    for n in 0..2 {
        let mut guard = fleet.at(n).begin(print, fleet.deadline(5_000)).await.expect("a run");
        guard.sent(address);
        drop(guard);
    }
    // Both were cancelled, and the upstream turns out to have crashed.
    drop(upstream);
    wait_until("it is quarantined", || fleet.at(2).check(print).is_err()).await;
}

#[actix_rt::test]
async fn drop_before_send_forgotten() {
    let fleet = fleet(&[]).await;
    let print = Fingerprint(5);
    for _ in 0..4 {
        let guard = fleet.at(0).begin(print, fleet.deadline(5_000)).await.expect("a run");
        assert!(!guard.alone());
    }
}
