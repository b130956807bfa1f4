//! Quarantine of requests that crash upstreams, shared by several entry VMs.

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

/// Starts entry VMs that know each other; those in `unreachable` don't answer.
async fn fleet(unreachable: &[usize]) -> Fleet {
    let mut view = View::default();
    let mut listeners = Vec::new();
    for n in 0..VMS {
        let vm = Vm::from(format!("entry-{n}"));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        view.members.insert(
            vm.clone(),
            member(&vm, listener.local_addr().expect("a bound listener has an address")),
        );
        listeners.push((vm, listener));
    }
    let mut vms = Vec::new();
    for (n, (vm, listener)) in listeners.into_iter().enumerate() {
        let mut context = context(view.clone());
        context.peers = Pool::new(vm.clone(), SECRET.into());
        context.vm = vm.clone();
        let quarantine = Quarantine::with_timeout(context.clone(), Duration::from_secs(5));
        actix_rt::spawn(quarantine.clone().run());
        if unreachable.contains(&n) {
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
async fn begin_after_two_crashes() {
    for n in 0..8 {
        let fingerprint = Fingerprint(n);
        let fleet = fleet(&[]).await;
        let deadline = fleet.deadline(5_000);
        let first =
            fleet.at(0).begin(fingerprint, deadline).await.expect("the first run is permitted");
        assert!(!first.isolated());
        first.crashed().await;
        let second =
            fleet.at(1).begin(fingerprint, deadline).await.expect("the second run is permitted");
        assert!(second.isolated());
        second.crashed().await;
        let refused =
            fleet.at(2).begin(fingerprint, deadline).await.err().expect("the run is refused");
        assert_eq!(refused.kind, Kind::Quarantined);
        wait_until("all VMs know of the quarantine", || {
            fleet.vms.iter().all(|(_, quarantine)| quarantine.check(fingerprint).is_err())
        })
        .await;
    }
}

#[actix_rt::test]
async fn begin_concurrent_runs_bounded() {
    for n in 0..8 {
        let fingerprint = Fingerprint(n);
        let fleet = fleet(&[]).await;
        let long = fleet.deadline(5_000);
        let first = fleet.at(0).begin(fingerprint, long).await.expect("the first run is permitted");
        let second =
            fleet.at(1).begin(fingerprint, long).await.expect("the second run is permitted");
        let refused = fleet
            .at(2)
            .begin(fingerprint, fleet.deadline(60))
            .await
            .err()
            .expect("the run is refused");
        assert_eq!(refused.kind, Kind::InProgress);
        first.completed();
        second.completed();
        let third = fleet.at(2).begin(fingerprint, fleet.deadline(5_000)).await;
        assert!(third.is_ok_and(|guard| !guard.isolated()));
    }
}

#[actix_rt::test]
async fn begin_owner_unreachable() {
    for unreachable in 0..VMS {
        let fleet = fleet(&[unreachable]).await;
        let fingerprint = Fingerprint(3);
        let reachable: Vec<usize> = (0..VMS).filter(|n| *n != unreachable).collect();
        let first = fleet
            .at(reachable[0])
            .begin(fingerprint, fleet.deadline(5_000))
            .await
            .expect("the run is permitted");
        first.crashed().await;
        let second = fleet
            .at(reachable[1])
            .begin(fingerprint, fleet.deadline(5_000))
            .await
            .expect("the run is permitted");
        assert!(second.isolated());
        second.crashed().await;
        let refused = fleet.at(reachable[2]).begin(fingerprint, fleet.deadline(5_000)).await;
        assert_eq!(refused.err().map(|error| error.kind), Some(Kind::Quarantined));
    }
}

#[actix_rt::test]
async fn drop_after_send_probes_upstream() {
    let fleet = fleet(&[]).await;
    let fingerprint = Fingerprint(9);
    let upstream = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = upstream.local_addr().expect("a bound listener has an address");
    for n in 0..2 {
        let mut guard = fleet
            .at(n)
            .begin(fingerprint, fleet.deadline(5_000))
            .await
            .expect("the run is permitted");
        guard.sent(address);
        drop(guard);
    }
    // Both runs were cancelled, and the probes find that the upstream crashed.
    drop(upstream);
    wait_until("the request is quarantined", || fleet.at(2).check(fingerprint).is_err()).await;
}

#[actix_rt::test]
async fn drop_before_send_not_counted() {
    let fleet = fleet(&[]).await;
    let fingerprint = Fingerprint(5);
    for _ in 0..4 {
        let guard = fleet
            .at(0)
            .begin(fingerprint, fleet.deadline(5_000))
            .await
            .expect("the run is permitted");
        assert!(!guard.isolated());
    }
}
