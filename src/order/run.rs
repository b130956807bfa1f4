//! Controllers of all models on one VM: leases, reads and orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use futures_util::future::join_all;

use super::controller::{Controller, Limits, Order, Step, Target};
use super::engine::{self, Outcome};
use super::leadership::ORDER_TIMEOUT;
use super::lease::Claim;
use crate::admission::rendezvous;
use crate::config::resource::{self, Serves};
use crate::context::Context;
use crate::emit;
use crate::event::Event;
use crate::id::{Model, Upstream};
use crate::kv::KeyValue;
use crate::view::{Role, State, View};

/// Pause between rounds.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause between renewals, in rounds.
const RENEW_ROUNDS: Option<u64> = Some(3);
/// VMs that try for a model's lease, so that the platform's service isn't
/// asked by all.
const CANDIDATES: u64 = 3;
/// Pause between tries of the first candidate, in rounds; later ones try less
/// often.
const TRY_ROUNDS: u64 = 2;
/// Bound on reading an engine's state.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the controllers until the arbiter stops.
pub async fn run(context: Context, key_value: Rc<dyn KeyValue>, prefix: String) {
    let mut models: BTreeMap<Model, JoinHandle<()>> = BTreeMap::new();
    loop {
        models.retain(|_, task| !task.is_finished());
        for (name, spec) in &context.shared.load().models {
            if !models.contains_key(name) {
                let site = Site::new(&context, key_value.clone(), &prefix, name, spec);
                models.insert(name.clone(), actix_rt::spawn(control(context.clone(), site)));
            }
        }
        actix_rt::time::sleep(INTERVAL).await;
    }
}

/// Controls one model as long as it is configured.
async fn control(context: Context, mut site: Site) {
    let mut round = 0;
    while context.shared.load().models.contains_key(&site.model) {
        site.round(&context, &context.shared.load(), round).await;
        round += 1;
        actix_rt::time::sleep(INTERVAL).await;
    }
}

/// One model on this VM.
struct Site {
    model: Model,
    claim: Claim,
    controller: Controller,
}

impl Site {
    fn new(
        context: &Context,
        key_value: Rc<dyn KeyValue>,
        prefix: &str,
        model: &Model,
        spec: &resource::Model,
    ) -> Self {
        let claim = Claim::new(key_value, prefix, model, &context.vm, rand::random());
        let controller = Controller::new(target(model, spec), Limits::default());
        Self { model: model.clone(), claim, controller }
    }

    async fn round(&mut self, context: &Context, view: &View, round: u64) {
        let now = context.clock.now();
        let held = self.claim.tenure(now).is_some();
        let rounds = match held {
            true => RENEW_ROUNDS,
            false => tries_every(rank_of(context, view, &self.model)),
        };
        let due = rounds.is_some_and(|rounds| round.is_multiple_of(rounds));
        if due && self.claim.keep(&*context.clock).await.is_err() {
            return;
        }
        // Orders act on the configuration, so they need it confirmed.
        let now = context.clock.now();
        if self.claim.tenure(now).is_none() || !context.shared.contact.holds(now) {
            return;
        }
        let Some(spec) = view.models.get(&self.model) else { return };
        self.controller.configure(target(&self.model, spec), engines(view, &self.model));
        let (reads, orders): (Vec<Step>, Vec<Step>) =
            self.controller.steps(now).into_iter().partition(|step| matches!(step, Step::Read(_)));
        self.read(context, view, reads).await;
        let begun: Vec<_> =
            orders.into_iter().filter_map(|step| self.begin(context, view, step)).collect();
        let sends = begun.into_iter().map(|one| async move {
            let outcome =
                engine::send(one.address, one.fence, &one.target, &one.order, ORDER_TIMEOUT).await;
            (one, outcome)
        });
        for (begun, outcome) in join_all(sends).await {
            self.settle(context, &begun, outcome);
        }
    }

    async fn read(&mut self, context: &Context, view: &View, steps: Vec<Step>) {
        let asked = context.clock.now();
        let reads = steps.into_iter().filter_map(|step| match step {
            Step::Read(name) => Some((view.upstreams.get(&name)?.spec.address, name)),
            Step::Send(_) => None,
        });
        let reads = reads.map(|(address, name)| async move {
            (name, engine::read(address, READ_TIMEOUT).await)
        });
        for (name, observed) in join_all(reads).await {
            if let Some(observed) = observed {
                self.controller.on_state(&name, observed, asked);
            }
        }
    }

    /// The last check before an order is sent: a holder that was paused stops
    /// here.
    fn begin(&mut self, context: &Context, view: &View, step: Step) -> Option<Begun> {
        let Step::Send(order) = step else { return None };
        let upstream = view.upstreams.get(&order.upstream)?;
        let now = context.clock.now();
        let tenure = self.claim.tenure(now)?;
        if !tenure.may_send(upstream.spec.fenced, now)
            || !self.controller.begin_order(&order.upstream, now)
        {
            return None;
        }
        let (address, fence) = (upstream.spec.address, tenure.fencing_token());
        emit!(context.log, Event::OrderSent, "upstream" => order.upstream.to_string(),
            "version" => order.version.clone(), "fence" => fence);
        Some(Begun { address, fence, target: self.model.clone(), order })
    }

    fn settle(&mut self, context: &Context, begun: &Begun, outcome: Outcome) {
        match outcome {
            Outcome::Accepted => {}
            Outcome::Unknown => return,
            Outcome::Fenced | Outcome::Refused => {
                emit!(context.log, Event::OrderRefused,
                    "upstream" => begun.order.upstream.to_string(), "fence" => begun.fence);
            }
        }
        if outcome == Outcome::Fenced {
            self.claim.drop_tenure();
        }
        self.controller.on_answer(&begun.order.upstream, context.clock.now());
    }
}

/// An order that is being sent.
struct Begun {
    address: SocketAddr,
    fence: u64,
    target: Model,
    order: Order,
}

fn target(model: &Model, spec: &resource::Model) -> Target {
    Target { model: model.clone(), version: spec.version.clone(), adapters: spec.adapters.clone() }
}

fn engines<'a>(view: &'a View, model: &'a Model) -> impl Iterator<Item = Upstream> + 'a {
    let serves = move |serves: &Serves| matches!(serves, Serves::Model(name) if name == model);
    let live = view.upstreams.values().filter(|one| one.state == State::Live);
    live.filter(move |one| serves(&one.spec.serves)).map(|one| one.name.clone())
}

fn tries_every(rank: u64) -> Option<u64> {
    (rank < CANDIDATES).then_some(TRY_ROUNDS * (rank + 1))
}

fn rank_of(context: &Context, view: &View, model: &Model) -> u64 {
    let live =
        |member: &&crate::view::Member| member.role == Role::Entry && member.state == State::Live;
    let order = rendezvous::order(model, view.members.values().filter(live).map(|one| &one.vm));
    order.iter().position(|vm| **vm == context.vm).unwrap_or(0) as u64
}
