//! Task that renews this VM's leases of slots, and the state of the upstreams that it owns.

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

/// Interval between lease renewals.
const INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval between renewals while requests wait for slots.
const STARVED_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one request to an owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Owner state of the upstreams that this VM owns; cheap to clone.
#[derive(Clone)]
pub struct Owners {
    context: Context,
    state: Rc<RefCell<State>>,
}

#[derive(Default)]
struct State {
    view: Option<Arc<View>>,
    owners: BTreeMap<Upstream, Owner>,
    pending: BTreeSet<Vm>,
}

impl Owners {
    /// Creates the state, which must stay on the control arbiter.
    pub fn new(context: Context) -> Self {
        Self { context, state: Rc::default() }
    }

    /// Leases slots to a VM; upstreams that this VM doesn't own are left out of the answer.
    pub fn lease(&self, vm: &Vm, request: &limits::Request) -> limits::Leased {
        let now = self.context.clock.now();
        let mut state = self.state.borrow_mut();
        state.adopt(&self.context, now);
        let mut leases = Vec::new();
        for slots in &request.slots {
            let name = Upstream::from(slots.upstream.as_str());
            let Some(owner) = state.owners.get_mut(&name) else { continue };
            let demand = Demand {
                wanted: slots.count,
                needed: slots.need,
                running: slots.running,
                held: slots.held,
                sequence: request.sequence,
            };
            let count = owner.lease(vm, demand, now);
            leases.push(limits::Slots { count, ..slots.clone() });
        }
        limits::Leased { leases }
    }
}

impl State {
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

/// Renews the leases of `dispatcher` until the arbiter stops.
pub async fn renew(owners: Owners, dispatcher: Dispatcher) {
    dispatcher.use_leases();
    loop {
        dispatcher.refresh();
        query_owners(&owners, &dispatcher);
        actix_rt::time::sleep(STARVED_INTERVAL).await;
        let _ = actix_rt::time::timeout(INTERVAL - STARVED_INTERVAL, dispatcher.starved()).await;
    }
}

fn query_owners(owners: &Owners, dispatcher: &Dispatcher) {
    let view = owners.context.shared.load();
    let mut requests: BTreeMap<Vm, limits::Request> = BTreeMap::new();
    let available_owner = |name: &Upstream| {
        let owner = view.upstreams.get(name).and_then(|upstream| owner_of(&view, upstream));
        owner.filter(|owner| !owners.state.borrow().pending.contains(owner))
    };
    let (requested_at, demands) = dispatcher.demands(|name| available_owner(name).is_some());
    for (name, demand) in demands {
        let Some(owner) = available_owner(&name) else { continue };
        let slots = limits::Slots {
            upstream: name.to_string(),
            count: demand.wanted,
            need: demand.needed,
            running: demand.running,
            held: demand.held,
        };
        let message = requests.entry(owner).or_default();
        message.sequence = demand.sequence;
        message.slots.push(slots);
    }
    for (owner, request) in requests {
        owners.state.borrow_mut().pending.insert(owner.clone());
        let query = Query { view: view.clone(), owner, request, requested_at };
        actix_rt::spawn(query_owner(owners.clone(), dispatcher.clone(), query));
    }
}

struct Query {
    view: Arc<View>,
    owner: Vm,
    request: limits::Request,
    requested_at: Time,
}

async fn query_owner(owners: Owners, dispatcher: Dispatcher, query: Query) {
    let Query { view, owner, request, requested_at } = query;
    let leased = if owner == owners.context.vm {
        Some(owners.lease(&owner, &request))
    } else {
        call(&owners, &view, &owner, request).await
    };
    owners.state.borrow_mut().pending.remove(&owner);
    let Some(leased) = leased else { return };
    // Ignores the lease if the view has another owner by now.
    let current = owners.context.shared.load();
    for lease in leased.leases {
        let name = Upstream::from(lease.upstream);
        let upstream = current.upstreams.get(&name);
        if upstream.and_then(|upstream| owner_of(&current, upstream)).as_ref() == Some(&owner) {
            dispatcher.receive(&name, lease.count, requested_at);
        }
    }
    dispatcher.refresh();
}

async fn call(
    owners: &Owners,
    view: &View,
    owner: &Vm,
    request: limits::Request,
) -> Option<limits::Leased> {
    let client = owners.context.peers.get(view.members.get(owner)?.peer);
    let message = limits::Message { body: Some(limits::Body::Request(request)) };
    match client.call(Body::Limits(message), CALL_TIMEOUT).await.ok()? {
        Body::Limits(limits::Message { body: Some(limits::Body::Leased(leased)) }) => Some(leased),
        _ => None,
    }
}
