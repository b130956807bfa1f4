//! Replica sets between the platform's service, the members and the engine.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::command::Command;
use crate::context::Context;
use crate::emit;
use crate::event::Event;
use crate::id::{DataCentre, Vm};
use crate::kv::{Entry, KeyValue, Swap, Swapped};
use crate::segment::{MIN_COPIES, Replica, ReplicaSet, SegmentId, TARGET_COPIES};
use crate::view::{Member, Role, State};
use crate::wire::batch::{Body, Message};

/// Bound on a store telling its identity.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps sets up to date.
pub(super) struct Supervisor {
    context: Context,
    prefix: String,
    key_value: Rc<dyn KeyValue>,
    commands: mpsc::Sender<Command>,
    own: Replica,
    /// Where each store was last seen; kept while the view lacks it.
    addresses: RefCell<BTreeMap<Vm, SocketAddr>>,
}

/// A live store.
#[derive(Clone, Debug)]
struct Live {
    replica: Replica,
    data_centre: DataCentre,
}

impl Supervisor {
    pub(super) fn new(
        context: Context,
        prefix: &str,
        key_value: Rc<dyn KeyValue>,
        commands: mpsc::Sender<Command>,
        own: Replica,
    ) -> Self {
        let prefix = format!("{prefix}segments/");
        Self { context, prefix, key_value, commands, own, addresses: RefCell::default() }
    }

    pub(super) fn context(&self) -> &Context {
        &self.context
    }

    pub(super) fn address(&self, vm: &Vm) -> Option<SocketAddr> {
        self.addresses.borrow().get(vm).copied()
    }

    /// Brings the platform's sets and the live stores to the engine, and
    /// creates sets that don't exist yet.
    pub(super) async fn look(&self) {
        let live = self.live().await;
        let sets = self.sets().await;
        for segment in SegmentId::all() {
            let Some(set) = sets.get(segment.0 as usize) else { continue };
            let spares = spares(set, &live, &self.places());
            let _ = self.commands.send(Command::SetSpares(segment, spares)).await;
        }
        let Ok(range) = self.key_value.range(&self.prefix).await else { return };
        let mut missing: BTreeSet<SegmentId> = SegmentId::all().collect();
        for entry in &range.entries {
            let number = entry.key.strip_prefix(&self.prefix).and_then(|text| text.parse().ok());
            let Some(segment) = number.map(SegmentId) else { continue };
            missing.remove(&segment);
            self.adopt(segment, entry).await;
        }
        for segment in missing {
            self.create(segment, &live).await;
        }
    }

    /// Puts `set` in the place of the one before it. A lost reply is settled by
    /// reading back: here at the next try, or by `look`.
    pub(super) async fn swap(&self, segment: SegmentId, set: ReplicaSet) {
        let key = format!("{}{}", self.prefix, segment.0);
        let Ok(range) = self.key_value.range(&key).await else { return };
        let Some(entry) = range.entries.into_iter().find(|entry| entry.key == key) else { return };
        let Some(current) = parse(&entry) else { return };
        if current.epoch + 1 != set.epoch {
            self.adopt(segment, &entry).await;
            return;
        }
        self.put(segment, entry.version, set).await;
    }

    async fn put(&self, segment: SegmentId, expected: u64, set: ReplicaSet) {
        let key = format!("{}{}", self.prefix, segment.0);
        let value = serde_json::to_vec(&set).expect("a set is plain data");
        let swap = Swap { key, expected, value: Some(value), lease: None };
        match self.key_value.swap(swap).await {
            Ok(Swapped::Applied(_)) => {
                emit!(self.context.log, Event::ReplicaReplaced,
                    "segment" => segment.0, "epoch" => set.epoch);
                let _ = self.commands.send(Command::Adopt(segment, set)).await;
            }
            Ok(Swapped::Refused(Some(entry))) => self.adopt(segment, &entry).await,
            Ok(Swapped::Refused(None)) | Err(_) => {}
        }
    }

    async fn adopt(&self, segment: SegmentId, entry: &Entry) {
        if let Some(set) = parse(entry) {
            let _ = self.commands.send(Command::Adopt(segment, set)).await;
        }
    }

    async fn create(&self, segment: SegmentId, live: &[Live]) {
        let mut chosen: Vec<&Live> = Vec::new();
        // Primaries are spread over the stores.
        let start = segment.0 as usize % live.len().max(1);
        for store in live.iter().cycle().skip(start).take(live.len()) {
            let taken = chosen.iter().any(|other| other.data_centre == store.data_centre);
            if !taken && chosen.len() < TARGET_COPIES {
                chosen.push(store);
            }
        }
        if chosen.len() < MIN_COPIES {
            return;
        }
        let replicas = chosen.into_iter().map(|store| store.replica.clone()).collect();
        self.put(segment, 0, ReplicaSet { epoch: 1, replicas }).await;
    }

    async fn sets(&self) -> Vec<ReplicaSet> {
        let (responder, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Sets(responder)).await;
        answer.await.unwrap_or_default()
    }

    /// Stores that answer, by name, with the identities of their disks.
    async fn live(&self) -> Vec<Live> {
        let view = self.context.shared.load();
        let stores = view
            .members
            .values()
            .filter(|member| member.role == Role::Store && member.state == State::Live);
        let stores: Vec<Member> = stores.cloned().collect();
        let mut live = Vec::new();
        for member in stores {
            self.addresses.borrow_mut().insert(member.vm.clone(), member.peer);
            if let Some(disk) = self.identify(&member).await {
                let replica = Replica { vm: member.vm, disk };
                live.push(Live { replica, data_centre: member.data_centre });
            }
        }
        live
    }

    async fn identify(&self, member: &Member) -> Option<u64> {
        if member.vm == self.own.vm {
            return Some(self.own.disk);
        }
        let client = self.context.peers.get(member.peer);
        let answer = client.call(Message::frame(Body::Identify(())), IDENTIFY_TIMEOUT).await;
        match answer.and_then(Message::unframe) {
            Ok(Body::Identity(disk)) => Some(disk),
            _ => None,
        }
    }

    /// Data centres of all stores that the view knows.
    fn places(&self) -> BTreeMap<Vm, DataCentre> {
        let view = self.context.shared.load();
        let members = view.members.values();
        members.map(|member| (member.vm.clone(), member.data_centre.clone())).collect()
    }
}

/// Live stores in data centres that have no copy yet.
fn spares(set: &ReplicaSet, live: &[Live], places: &BTreeMap<Vm, DataCentre>) -> Vec<Replica> {
    // A copy on a lost disk of a live store doesn't count.
    let lives = |replica: &&Replica| live.iter().any(|store| store.replica == **replica);
    let held = set.replicas.iter().filter(lives).filter_map(|replica| places.get(&replica.vm));
    let held: BTreeSet<&DataCentre> = held.collect();
    let free = live
        .iter()
        .filter(|store| !held.contains(&store.data_centre) && !set.contains(&store.replica));
    free.map(|store| store.replica.clone()).collect()
}

fn parse(entry: &Entry) -> Option<ReplicaSet> {
    serde_json::from_slice(&entry.value).ok()
}
