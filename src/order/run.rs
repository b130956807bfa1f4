//! Runs the controllers of all models on one VM: maintains leases, reads states and sends orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use futures_util::future::join_all;

use super::controller::{Controller, Limits, Order, Step, Target};
use super::engine::{self, Outcome};
use super::leadership::ORDER_TIMEOUT;
use super::lease::Lease;
use crate::admission::rendezvous;
use crate::config::resource::{self, Serves};
use crate::context::Context;
use crate::emit;
use crate::event::Event;
use crate::id::{Model, Upstream};
use crate::kv::KeyValue;
use crate::view::{Role, State, View};

/// Pause between reconciliation rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Rounds between renewals of a held lease.
const RENEW_ROUNDS: Option<u64> = Some(3);
/// Number of VMs that try to acquire a model's lease, which limits the load on the platform's
/// key-value service.
const CANDIDATES: u64 = 3;
/// Rounds between attempts of the first candidate; lower-ranked candidates try less often.
const TRY_ROUNDS: u64 = 2;
/// Timeout of reading an engine's state.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the controllers until the arbiter stops.
pub async fn run(context: Context, key_value: Rc<dyn KeyValue>, prefix: String) {
    let mut models: BTreeMap<Model, JoinHandle<()>> = BTreeMap::new();
    loop {
        models.retain(|_, task| !task.is_finished());
        for (name, spec) in &context.shared.load().models {
            if !models.contains_key(name) {
                let reconciler = Reconciler::new(&context, key_value.clone(), &prefix, name, spec);
                models.insert(
                    name.clone(),
                    actix_rt::spawn(reconcile_model(context.clone(), reconciler)),
                );
            }
        }
        actix_rt::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Reconciles one model as long as it is configured.
async fn reconcile_model(context: Context, mut reconciler: Reconciler) {
    let mut round = 0;
    while context.shared.load().models.contains_key(&reconciler.model) {
        reconciler.reconcile(&context, &context.shared.load(), round).await;
        round += 1;
        actix_rt::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Reconciles one model from this VM.
struct Reconciler {
    model: Model,
    lease: Lease,
    controller: Controller,
}

impl Reconciler {
    fn new(
        context: &Context,
        key_value: Rc<dyn KeyValue>,
        prefix: &str,
        model: &Model,
        spec: &resource::Model,
    ) -> Self {
        let lease = Lease::new(key_value, prefix, model, &context.vm, rand::random());
        let controller = Controller::new(target(model, spec), Limits::default());
        Self { model: model.clone(), lease, controller }
    }

    async fn reconcile(&mut self, context: &Context, view: &View, round: u64) {
        let now = context.clock.now();
        let held = self.lease.leadership(now).is_some();
        let rounds = match held {
            true => RENEW_ROUNDS,
            false => rounds_between_tries(rank_of(context, view, &self.model)),
        };
        let due = rounds.is_some_and(|rounds| round.is_multiple_of(rounds));
        if due && self.lease.renew_or_acquire(&*context.clock).await.is_err() {
            return;
        }
        // Orders are derived from the configuration, so they require it to be current.
        let now = context.clock.now();
        if self.lease.leadership(now).is_none() || !context.shared.contact.holds(now) {
            return;
        }
        let Some(spec) = view.models.get(&self.model) else { return };
        self.controller.configure(target(&self.model, spec), live_engines(view, &self.model));
        let (reads, orders): (Vec<Step>, Vec<Step>) =
            self.controller.steps(now).into_iter().partition(|step| matches!(step, Step::Read(_)));
        self.read(context, view, reads).await;
        let dispatches: Vec<_> =
            orders.into_iter().filter_map(|step| self.prepare(context, view, step)).collect();
        let sends = dispatches.into_iter().map(|dispatch| async move {
            let outcome = engine::send(
                dispatch.address,
                dispatch.fencing_token,
                &dispatch.target,
                &dispatch.order,
                ORDER_TIMEOUT,
            )
            .await;
            (dispatch, outcome)
        });
        for (dispatch, outcome) in join_all(sends).await {
            self.on_outcome(context, &dispatch, outcome);
        }
    }

    async fn read(&mut self, context: &Context, view: &View, steps: Vec<Step>) {
        let requested_at = context.clock.now();
        let reads = steps.into_iter().filter_map(|step| match step {
            Step::Read(name) => Some((view.upstreams.get(&name)?.spec.address, name)),
            Step::Send(_) => None,
        });
        let reads = reads.map(|(address, name)| async move {
            (name, engine::read(address, READ_TIMEOUT).await)
        });
        for (name, observed) in join_all(reads).await {
            if let Some(observed) = observed {
                self.controller.on_state(&name, observed, requested_at);
            }
        }
    }

    /// Checks immediately before an order is sent that the lease is still held, so that a process
    /// that was paused doesn't send an outdated order.
    fn prepare(&mut self, context: &Context, view: &View, step: Step) -> Option<Dispatch> {
        let Step::Send(order) = step else { return None };
        let upstream = view.upstreams.get(&order.upstream)?;
        let now = context.clock.now();
        let leadership = self.lease.leadership(now)?;
        if !leadership.may_send(upstream.spec.fenced, now)
            || !self.controller.begin_order(&order.upstream, now)
        {
            return None;
        }
        let (address, fencing_token) = (upstream.spec.address, leadership.fencing_token());
        emit!(context.log, Event::OrderSent, "upstream" => order.upstream.to_string(),
            "version" => order.version.clone(), "fence" => fencing_token);
        Some(Dispatch { address, fencing_token, target: self.model.clone(), order })
    }

    fn on_outcome(&mut self, context: &Context, dispatch: &Dispatch, outcome: Outcome) {
        match outcome {
            Outcome::Accepted => {}
            Outcome::Unknown => return,
            Outcome::Fenced | Outcome::Refused => {
                emit!(context.log, Event::OrderRefused,
                    "upstream" => dispatch.order.upstream.to_string(),
                    "fence" => dispatch.fencing_token);
            }
        }
        if outcome == Outcome::Fenced {
            self.lease.drop_leadership();
        }
        self.controller.on_answer(&dispatch.order.upstream, context.clock.now());
    }
}

/// An order that is being sent.
struct Dispatch {
    address: SocketAddr,
    fencing_token: u64,
    target: Model,
    order: Order,
}

fn target(model: &Model, spec: &resource::Model) -> Target {
    Target { model: model.clone(), version: spec.version.clone(), adapters: spec.adapters.clone() }
}

fn live_engines<'a>(view: &'a View, model: &'a Model) -> impl Iterator<Item = Upstream> + 'a {
    let serves = move |serves: &Serves| matches!(serves, Serves::Model(name) if name == model);
    let live = view.upstreams.values().filter(|upstream| upstream.state == State::Live);
    live.filter(move |upstream| serves(&upstream.spec.serves)).map(|upstream| upstream.name.clone())
}

fn rounds_between_tries(rank: u64) -> Option<u64> {
    (rank < CANDIDATES).then_some(TRY_ROUNDS * (rank + 1))
}

fn rank_of(context: &Context, view: &View, model: &Model) -> u64 {
    let live =
        |member: &&crate::view::Member| member.role == Role::Entry && member.state == State::Live;
    let order =
        rendezvous::order(model, view.members.values().filter(live).map(|member| &member.vm));
    order.iter().position(|vm| **vm == context.vm).unwrap_or(0) as u64
}
