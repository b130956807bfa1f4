//! Discovery of entry VMs: tells a caller which ones to use, and for how long.
//!
//! `GET /v1/entries` returns the addresses of live entry VMs, never of leaving
//! ones: the home VMs of the caller's organisation first, then those in the
//! caller's data centre. The order within each group and the lifetime are
//! randomised per response, which spreads callers over VMs and their refreshes
//! over time.

use actix_web::http::header;
use actix_web::{HttpRequest, HttpResponse, ResponseError, web};
use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use sha2::{Digest as _, Sha256};

use crate::admission::{home, refusal};
use crate::context::Context;
use crate::id::{DataCentre, Organisation, Vm};
use crate::view::{Digest, Member, Role, State, View};

/// Minimum lifetime of a response, in milliseconds.
pub const MIN_LIFETIME_MS: u64 = 4_000;
/// Maximum lifetime of a response, in milliseconds.
pub const MAX_LIFETIME_MS: u64 = 6_000;

/// Adds `GET /v1/entries`; expects `web::Data<Context>`.
pub fn configure(config: &mut web::ServiceConfig) {
    config.route("/v1/entries", web::get().to(list));
}

/// Query parameters of `GET /v1/entries`.
#[derive(Debug, Default, Deserialize)]
pub struct Query {
    /// Data centre of the caller.
    pub data_centre: Option<DataCentre>,
}

value! {
    /// Response of `GET /v1/entries`.
    pub struct Entries {
        /// Entry VMs in order of preference.
        pub entries: Vec<Entry>,
        /// Time for which the response may be used, in milliseconds.
        pub lifetime_ms: u64,
    }

    /// An entry VM.
    pub struct Entry {
        /// Address that callers connect to.
        pub address: std::net::SocketAddr,
        /// Data centre of the VM.
        pub data_centre: DataCentre,
        /// Name of the VM.
        pub vm: Vm,
    }
}

async fn list(
    request: HttpRequest,
    query: web::Query<Query>,
    context: web::Data<Context>,
) -> HttpResponse {
    // A VM that is out of contact may not know which VMs are leaving.
    if !context.shared.contact.holds(context.clock.now()) {
        return refusal::out_of_contact().error_response();
    }
    let view = context.shared.load();
    let organisation = bearer_digest(&request).and_then(|digest| view.keys.get(&digest));
    let preferred = query.data_centre.as_ref().unwrap_or(&context.data_centre);
    HttpResponse::Ok().insert_header((header::CACHE_CONTROL, "no-store")).json(select(
        &view,
        preferred,
        organisation,
        &mut rand::rng(),
    ))
}

fn bearer_digest(request: &HttpRequest) -> Option<Digest> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(Sha256::digest(key.trim().as_bytes()).into())
}

/// Selects and orders entry VMs for a caller in data centre `preferred`.
pub fn select<R>(
    view: &View,
    preferred: &DataCentre,
    organisation: Option<&Organisation>,
    random: &mut R,
) -> Entries
where
    R: Rng,
{
    let homes = organisation.map(|name| home::of(view, name)).unwrap_or_default();
    let mut members: Vec<&Member> =
        view.members.values().filter(|member| accepts_callers(member)).collect();
    members.shuffle(random);
    members.sort_by_key(|member| (!homes.contains(&member.vm), member.data_centre != *preferred));
    let entry = |member: &Member| {
        let (data_centre, vm) = (member.data_centre.clone(), member.vm.clone());
        member.caller.map(|address| Entry { address, data_centre, vm })
    };
    Entries {
        entries: members.into_iter().filter_map(entry).collect(),
        lifetime_ms: random.random_range(MIN_LIFETIME_MS..=MAX_LIFETIME_MS),
    }
}

fn accepts_callers(member: &Member) -> bool {
    member.role == Role::Entry && member.state == State::Live
}
