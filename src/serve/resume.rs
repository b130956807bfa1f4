//! Exchange of stream origins between VMs.
//!
//! A record goes to the `REPLICAS` VMs that rank highest for its stream, so that
//! it outlives the VM that served the stream. A VM without the record asks these
//! first and then all others, since their ranks change with the members.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::context::Context;
use super::datagram::{Content, OriginReply, OriginRequest, Origins};
use super::member::replicas;
use super::origin::{Origin, Record, Stream};
use super::peers::Peers;
use crate::id::Service;

/// Number of other VMs that a record is sent to.
const REPLICAS: usize = 3;
/// Time to wait for replies to one round of requests.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of records in one datagram.
const MAX_RECORDS: usize = 100;

/// Requests for origins that wait for replies.
#[derive(Default)]
pub(super) struct Requests {
    waiting: RefCell<HashMap<u64, mpsc::UnboundedSender<OriginReply>>>,
}

impl Requests {
    /// Hands a reply to its request.
    pub(super) fn deliver(&self, reply: OriginReply) {
        let waiting = self.waiting.borrow();
        let Some(sender) = waiting.get(&reply.request_id) else { return };
        // The requester may have stopped waiting meanwhile.
        let _ = sender.send(reply);
    }
}

/// What this VM tells another one about a stream.
pub(super) fn reply(context: &Context, request: &OriginRequest) -> OriginReply {
    let now = context.now();
    let record = context.origins.borrow().get(Stream::from_hash(request.stream), now);
    let versions = context.versions.borrow();
    let attempt = Duration::from_millis(request.attempt_ms);
    let only = versions.claim(&request.service.as_str().into(), attempt, now);
    let only_version = only.map_or_else(String::new, |version| version.to_string());
    OriginReply { request_id: request.request_id, record, only_version }
}

/// A stream that a caller resumes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Resumed<'a> {
    pub stream: Stream,
    /// The only service that its route leads to; none if there are several.
    pub service: Option<&'a Service>,
    /// Maximum time of one of its attempts.
    pub attempt: Duration,
}

/// Origin of a stream that a caller resumes: recorded here or at another VM, or the
/// only one possible at its service; none if it can't be known.
pub(super) async fn origin(
    context: &Rc<Context>,
    peers: &Peers,
    resumed: Resumed<'_>,
) -> Option<Origin> {
    let asked_at = context.now();
    let recorded = context.origins.borrow().origin(resumed.stream, asked_at).cloned();
    if recorded.is_some() {
        return recorded;
    }
    let mut claim = None;
    for addresses in [peers.replica_addresses(resumed.stream), peers.others()] {
        match peers.ask_origin(resumed, &addresses).await {
            Answer::Recorded(record) => {
                let now = context.now();
                context.origins.borrow_mut().merge(std::slice::from_ref(&record), now);
                return Some(record.origin());
            }
            Answer::Only(origin) => claim = Some(origin),
            Answer::Unknown => {}
        }
    }
    let service = resumed.service?;
    let has_claim = context.versions.borrow().claim(service, resumed.attempt, asked_at).is_some();
    if !has_claim && claim.is_none() {
        return None;
    }
    // A version that has joined since the claim was true may have begun the stream.
    if !context.view_since(asked_at).await {
        return None;
    }
    let versions = context.versions.borrow();
    let only = versions.only_version(service, resumed.attempt, asked_at);
    let only = only.map(|version| Origin { service: service.clone(), version: version.clone() });
    only.or(claim.filter(|claim| versions.confirms(claim, resumed.attempt, asked_at)))
}

/// What other VMs know of a stream.
enum Answer {
    /// Its record.
    Recorded(Record),
    /// No record, but the only origin possible.
    Only(Origin),
    /// Nothing.
    Unknown,
}

impl Peers {
    /// Sends new records to the VMs that keep them, until the process exits.
    pub async fn announce_origins(self: Rc<Self>) {
        loop {
            self.context().stream_begun.notified().await;
            let now = self.context().now();
            let unsent = self.context().origins.borrow_mut().take_unsent(now);
            self.send_origins(unsent);
        }
    }

    /// Sends all records of this VM to the VMs that keep them once it is gone.
    pub fn hand_over_origins(&self) {
        let all = self.context().origins.borrow().all(self.context().now());
        self.send_origins(all);
    }

    fn send_origins(&self, records: Vec<Record>) {
        let mut by_address: HashMap<SocketAddr, Vec<Record>> = HashMap::new();
        for record in records {
            for address in self.replica_addresses(record.stream()) {
                by_address.entry(address).or_default().push(record.clone());
            }
        }
        for (address, records) in by_address {
            for records in records.chunks(MAX_RECORDS) {
                let records = records.to_vec();
                self.send_to(Content::Origins(Origins { records }), address);
            }
        }
    }

    fn replica_addresses(&self, stream: Stream) -> Vec<SocketAddr> {
        let view = self.context().view.borrow();
        let members = replicas(&view.members, self.context().vm(), &stream.name(), REPLICAS);
        members.into_iter().map(|member| member.peer).collect()
    }

    /// Asks other VMs for the origin of a stream. The first record decides.
    async fn ask_origin(&self, resumed: Resumed<'_>, addresses: &[SocketAddr]) -> Answer {
        let Resumed { stream, service, attempt } = resumed;
        let request_id = self.context().random();
        let (sender, mut replies) = mpsc::unbounded_channel();
        self.origin_requests.waiting.borrow_mut().insert(request_id, sender);
        let service_name = service.map_or_else(String::new, |service| service.to_string());
        for address in addresses {
            let service = service_name.clone();
            let attempt_ms = attempt.as_millis() as u64;
            let request = OriginRequest { request_id, stream: stream.hash(), service, attempt_ms };
            self.send_to(Content::OriginRequest(request), *address);
        }
        let until = self.context().now().after(REPLY_TIMEOUT);
        let mut answer = Answer::Unknown;
        for _ in addresses {
            let remaining = self.context().now().until(until);
            let Ok(Some(reply)) = tokio::time::timeout(remaining, replies.recv()).await else {
                break;
            };
            if let Some(record) = reply.record {
                answer = Answer::Recorded(record);
                break;
            }
            if let Some(service) = service
                && !reply.only_version.is_empty()
            {
                let version = reply.only_version.as_str().into();
                answer = Answer::Only(Origin { service: service.clone(), version });
            }
        }
        self.origin_requests.waiting.borrow_mut().remove(&request_id);
        answer
    }
}
