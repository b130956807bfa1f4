//! Caller steering: which entry VMs a caller should use, and for how long.
//!
//! `GET /v1/entries` answers with the addresses of entry members, never of
//! leaving ones: the home VMs of the caller's organisation first, then those
//! of the caller's data centre. The order within each group and the lifetime
//! are drawn anew for each answer, so callers spread and don't return
//! together.

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

/// Shortest lifetime of an answer, in milliseconds.
pub const MIN_LIFETIME_MS: u64 = 4_000;
/// Longest lifetime of an answer, in milliseconds.
pub const MAX_LIFETIME_MS: u64 = 6_000;

/// Adds `GET /v1/entries`; expects `web::Data<Context>`.
pub fn configure(config: &mut web::ServiceConfig) {
    config.route("/v1/entries", web::get().to(list));
}

/// What a caller may say about itself.
#[derive(Debug, Default, Deserialize)]
pub struct Query {
    /// Where the caller stands.
    pub data_centre: Option<DataCentre>,
}

value! {
    /// Answer of `GET /v1/entries`.
    pub struct Entries {
        /// Entry VMs, best first.
        pub entries: Vec<Entry>,
        /// How long the answer may be used, in milliseconds.
        pub lifetime_ms: u64,
    }

    /// One entry VM.
    pub struct Entry {
        /// Where callers connect.
        pub address: std::net::SocketAddr,
        /// Where it stands.
        pub data_centre: DataCentre,
        /// Its name.
        pub vm: Vm,
    }
}

async fn list(
    request: HttpRequest,
    query: web::Query<Query>,
    context: web::Data<Context>,
) -> HttpResponse {
    // A VM out of contact may not know who is leaving.
    if !context.shared.contact.holds(context.clock.now()) {
        return refusal::out_of_contact().error_response();
    }
    let view = context.shared.load();
    let organisation = bearer(&request).and_then(|digest| view.keys.get(&digest));
    let near = query.data_centre.as_ref().unwrap_or(&context.data_centre);
    HttpResponse::Ok().insert_header((header::CACHE_CONTROL, "no-store")).json(select(
        &view,
        near,
        organisation,
        &mut rand::rng(),
    ))
}

fn bearer(request: &HttpRequest) -> Option<Digest> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(Sha256::digest(key.trim().as_bytes()).into())
}

/// Chooses entry VMs for a caller that stands at `near`.
pub fn select<R>(
    view: &View,
    near: &DataCentre,
    organisation: Option<&Organisation>,
    random: &mut R,
) -> Entries
where
    R: Rng,
{
    let homes = organisation.map(|name| home::of(view, name)).unwrap_or_default();
    let mut members: Vec<&Member> =
        view.members.values().filter(|one| takes_callers(one)).collect();
    members.shuffle(random);
    members.sort_by_key(|one| (!homes.contains(&one.vm), one.data_centre != *near));
    let entry = |one: &Member| {
        let (data_centre, vm) = (one.data_centre.clone(), one.vm.clone());
        one.caller.map(|address| Entry { address, data_centre, vm })
    };
    Entries {
        entries: members.into_iter().filter_map(entry).collect(),
        lifetime_ms: random.random_range(MIN_LIFETIME_MS..=MAX_LIFETIME_MS),
    }
}

fn takes_callers(member: &Member) -> bool {
    member.role == Role::Entry && member.state == State::Live
}
