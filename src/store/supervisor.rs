//! Synchronizes replica sets between the platform's service, the fleet's
//! members and the engine.

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

/// Timeout of asking a store for its disk identity.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(500);

/// Creates replica sets and keeps the engine's copies up to date.
pub(super) struct Supervisor {
    context: Context,
    prefix: String,
    key_value: Rc<dyn KeyValue>,
    commands: mpsc::Sender<Command>,
    own: Replica,
    /// Last known address of each store, kept while it is missing from the view.
    addresses: RefCell<BTreeMap<Vm, SocketAddr>>,
}

/// A live store and the identity of its disk.
#[derive(Clone, Debug)]
struct LiveStore {
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

    /// Passes the replica sets of the platform's service and the live stores to
    /// the engine, and creates sets that don't exist yet.
    pub(super) async fn reconcile(&self) {
        let live_stores = self.live_stores().await;
        let adopted_sets = self.adopted_sets().await;
        for segment in SegmentId::all() {
            let Some(set) = adopted_sets.get(segment.0 as usize) else { continue };
            let spares = spares(set, &live_stores, &self.data_centres());
            let _ = self.commands.send(Command::SetSpares(segment, spares)).await;
        }
        let Ok(range) = self.key_value.range(&self.prefix).await else { return };
        let mut missing: BTreeSet<SegmentId> = SegmentId::all().collect();
        for entry in &range.entries {
            let number = entry.key.strip_prefix(&self.prefix).and_then(|text| text.parse().ok());
            let Some(segment) = number.map(SegmentId) else { continue };
            missing.remove(&segment);
            self.send_adopt(segment, entry).await;
        }
        for segment in missing {
            self.create_set(segment, &live_stores).await;
        }
    }

    /// Replaces the preceding replica set by `set`. If the reply is lost, the
    /// outcome is read back by the next attempt or by `reconcile`.
    pub(super) async fn swap(&self, segment: SegmentId, set: ReplicaSet) {
        let key = format!("{}{}", self.prefix, segment.0);
        let Ok(range) = self.key_value.range(&key).await else { return };
        let Some(entry) = range.entries.into_iter().find(|entry| entry.key == key) else { return };
        let Some(current) = parse_set(&entry) else { return };
        if current.epoch + 1 != set.epoch {
            self.send_adopt(segment, &entry).await;
            return;
        }
        self.write_set(segment, entry.version, set).await;
    }

    async fn write_set(&self, segment: SegmentId, expected: u64, set: ReplicaSet) {
        let key = format!("{}{}", self.prefix, segment.0);
        let value = serde_json::to_vec(&set).expect("a replica set serializes to JSON");
        let swap = Swap { key, expected, value: Some(value), lease: None };
        match self.key_value.swap(swap).await {
            Ok(Swapped::Applied(_)) => {
                emit!(self.context.log, Event::ReplicaReplaced,
                    "segment" => segment.0, "epoch" => set.epoch);
                let _ = self.commands.send(Command::Adopt(segment, set)).await;
            }
            Ok(Swapped::Refused(Some(entry))) => self.send_adopt(segment, &entry).await,
            Ok(Swapped::Refused(None)) | Err(_) => {}
        }
    }

    async fn send_adopt(&self, segment: SegmentId, entry: &Entry) {
        if let Some(set) = parse_set(entry) {
            let _ = self.commands.send(Command::Adopt(segment, set)).await;
        }
    }

    async fn create_set(&self, segment: SegmentId, live_stores: &[LiveStore]) {
        let mut chosen: Vec<&LiveStore> = Vec::new();
        // Each segment starts at another store, which distributes the primaries.
        let start = segment.0 as usize % live_stores.len().max(1);
        for store in live_stores.iter().cycle().skip(start).take(live_stores.len()) {
            let same_data_centre =
                chosen.iter().any(|other| other.data_centre == store.data_centre);
            if !same_data_centre && chosen.len() < TARGET_COPIES {
                chosen.push(store);
            }
        }
        if chosen.len() < MIN_COPIES {
            return;
        }
        let replicas = chosen.into_iter().map(|store| store.replica.clone()).collect();
        self.write_set(segment, 0, ReplicaSet { epoch: 1, replicas }).await;
    }

    async fn adopted_sets(&self) -> Vec<ReplicaSet> {
        let (responder, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Sets(responder)).await;
        answer.await.unwrap_or_default()
    }

    /// Live stores that reported the identity of their disk.
    async fn live_stores(&self) -> Vec<LiveStore> {
        let view = self.context.shared.load();
        let stores = view
            .members
            .values()
            .filter(|member| member.role == Role::Store && member.state == State::Live);
        let stores: Vec<Member> = stores.cloned().collect();
        let mut live_stores = Vec::new();
        for member in stores {
            self.addresses.borrow_mut().insert(member.vm.clone(), member.peer);
            if let Some(disk) = self.identify(&member).await {
                let replica = Replica { vm: member.vm, disk };
                live_stores.push(LiveStore { replica, data_centre: member.data_centre });
            }
        }
        live_stores
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

    /// Data centre of each member in the view.
    fn data_centres(&self) -> BTreeMap<Vm, DataCentre> {
        let view = self.context.shared.load();
        let members = view.members.values();
        members.map(|member| (member.vm.clone(), member.data_centre.clone())).collect()
    }
}

/// Live stores in data centres that have no replica yet.
fn spares(
    set: &ReplicaSet,
    live_stores: &[LiveStore],
    data_centres: &BTreeMap<Vm, DataCentre>,
) -> Vec<Replica> {
    // A replica whose store now has another disk doesn't count.
    let is_live = |replica: &&Replica| live_stores.iter().any(|store| store.replica == **replica);
    let occupied =
        set.replicas.iter().filter(is_live).filter_map(|replica| data_centres.get(&replica.vm));
    let occupied: BTreeSet<&DataCentre> = occupied.collect();
    let free = live_stores
        .iter()
        .filter(|store| !occupied.contains(&store.data_centre) && !set.contains(&store.replica));
    free.map(|store| store.replica.clone()).collect()
}

fn parse_set(entry: &Entry) -> Option<ReplicaSet> {
    serde_json::from_slice(&entry.value).ok()
}
