//! Carrying wants to owners and leases to the line.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::{Demand, Owner, fallback, owner_of};
use crate::admission::queue::Dispatcher;
use crate::clock::Time;
use crate::context::Context;
use crate::id::{Upstream, Vm};
use crate::view::View;
use crate::wire::{Body, limits};

/// Pause between renewals.
const INTERVAL: Duration = Duration::from_millis(300);
/// Shortest pause while requests wait for slots.
const STARVED_INTERVAL: Duration = Duration::from_millis(20);
/// Bound on one round trip to an owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// This VM as owner of some upstreams; cheap to clone.
#[derive(Clone)]
pub struct Owners {
    context: Context,
    state: Rc<RefCell<Owned>>,
}

#[derive(Default)]
struct Owned {
    view: Option<Arc<View>>,
    owners: BTreeMap<Upstream, Owner>,
    asking: BTreeSet<Vm>,
}

impl Owners {
    /// Makes an owner; it lives on the control arbiter.
    pub fn new(context: Context) -> Self {
        Self { context, state: Rc::default() }
    }

    /// Answers a VM's wants; upstreams owned elsewhere are left out.
    pub fn lease(&self, vm: &Vm, want: &limits::Request) -> limits::Leased {
        let now = self.context.clock.now();
        let mut state = self.state.borrow_mut();
        state.adopt(&self.context, now);
        let mut leases = Vec::new();
        for slots in &want.slots {
            let name = Upstream::from(slots.upstream.as_str());
            let Some(owner) = state.owners.get_mut(&name) else { continue };
            let asked = Demand {
                wanted: slots.count,
                needed: slots.need,
                running: slots.running,
                held: slots.held,
                sequence: want.sequence,
            };
            let count = owner.lease(vm, asked, now);
            leases.push(limits::Slots { count, ..slots.clone() });
        }
        limits::Leased { leases }
    }
}

impl Owned {
    fn adopt(&mut self, context: &Context, now: Time) {
        let view = context.shared.load();
        if self.view.as_ref().is_some_and(|held| Arc::ptr_eq(held, &view)) {
            return;
        }
        let own = |upstream: &&crate::view::Upstream| {
            owner_of(&view, upstream).as_ref() == Some(&context.vm)
        };
        let owned: Vec<_> = view.upstreams.values().filter(own).collect();
        self.owners.retain(|name, _| owned.iter().any(|upstream| upstream.name == *name));
        for upstream in owned {
            let owner = self.owners.entry(upstream.name.clone()).or_insert_with(|| Owner::new(now));
            owner.configure(upstream.spec.capacity, fallback(&view, upstream));
        }
        self.view = Some(view);
    }
}

/// Keeps `line` supplied with leased slots until the arbiter stops.
pub async fn renew(capacity: Owners, line: Dispatcher) {
    line.use_leases();
    loop {
        line.refresh();
        ask_owners(&capacity, &line);
        actix_rt::time::sleep(STARVED_INTERVAL).await;
        let _ = actix_rt::time::timeout(INTERVAL - STARVED_INTERVAL, line.starved()).await;
    }
}

fn ask_owners(capacity: &Owners, line: &Dispatcher) {
    let view = capacity.context.shared.load();
    let mut wants: BTreeMap<Vm, limits::Request> = BTreeMap::new();
    let idle_owner = |name: &Upstream| {
        let owner = view.upstreams.get(name).and_then(|upstream| owner_of(&view, upstream));
        owner.filter(|owner| !capacity.state.borrow().asking.contains(owner))
    };
    let (asked, all) = line.wants(|name| idle_owner(name).is_some());
    for (name, want) in all {
        let Some(owner) = idle_owner(&name) else { continue };
        let slots = limits::Slots {
            upstream: name.to_string(),
            count: want.wanted,
            need: want.needed,
            running: want.running,
            held: want.held,
        };
        let message = wants.entry(owner).or_default();
        message.sequence = want.sequence;
        message.slots.push(slots);
    }
    for (owner, want) in wants {
        capacity.state.borrow_mut().asking.insert(owner.clone());
        let question = Question { view: view.clone(), owner, want, asked };
        actix_rt::spawn(ask(capacity.clone(), line.clone(), question));
    }
}

struct Question {
    view: Arc<View>,
    owner: Vm,
    want: limits::Request,
    asked: Time,
}

async fn ask(capacity: Owners, line: Dispatcher, question: Question) {
    let Question { view, owner, want, asked } = question;
    let leased = if owner == capacity.context.vm {
        Some(capacity.lease(&owner, &want))
    } else {
        call(&capacity, &view, &owner, want).await
    };
    capacity.state.borrow_mut().asking.remove(&owner);
    let Some(leased) = leased else { return };
    // Who has learned of another owner meanwhile takes no lease of this one.
    let now = capacity.context.shared.load();
    for lease in leased.leases {
        let name = Upstream::from(lease.upstream);
        let upstream = now.upstreams.get(&name);
        if upstream.and_then(|upstream| owner_of(&now, upstream)).as_ref() == Some(&owner) {
            line.receive(&name, lease.count, asked);
        }
    }
    line.refresh();
}

async fn call(
    capacity: &Owners,
    view: &View,
    owner: &Vm,
    want: limits::Request,
) -> Option<limits::Leased> {
    let client = capacity.context.peers.get(view.members.get(owner)?.peer);
    let message = limits::Message { body: Some(limits::Body::Request(want)) };
    match client.call(Body::Limits(message), CALL_TIMEOUT).await.ok()? {
        Body::Limits(limits::Message { body: Some(limits::Body::Leased(leased)) }) => Some(leased),
        _ => None,
    }
}
