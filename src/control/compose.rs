//! Builds the view that traffic threads read.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::resource::Spec;
use crate::config::{Cache, Id, Record};
use crate::id::{self, Vm};
use crate::view::{Digest, Member, State, Upstream, View};

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Builds a view from the configuration and the members. Upstreams named in `leaving` are marked as
/// taking no new work.
pub fn compose(cache: &Cache, members: BTreeMap<Vm, Member>, leaving: &BTreeSet<String>) -> View {
    let mut view = View { version: cache.version(), members, ..View::default() };
    for (key, _, value) in cache.live() {
        let Some(id) = Id::from_key(key) else { continue };
        let Some(spec) = Record::decode(value).and_then(|record| record.spec) else { continue };
        insert(&mut view, id.name, spec, leaving);
    }
    let organisations = &view.organisations;
    view.keys.retain(|_, organisation| organisations.contains_key(organisation));
    view
}

fn insert(view: &mut View, name: String, spec: Spec, leaving: &BTreeSet<String>) {
    match spec {
        Spec::Organisation(spec) => {
            view.organisations.insert(name.into(), spec);
        }
        Spec::Key(spec) => {
            if let Some(digest) = digest(&spec.sha256) {
                view.keys.insert(digest, spec.organisation);
            }
        }
        Spec::Route(spec) => {
            view.routes.insert(spec.path.clone(), spec);
        }
        Spec::Model(spec) => {
            view.models.insert(name.into(), spec);
        }
        Spec::Upstream(spec) => {
            let state = if leaving.contains(&name) { State::Leaving } else { State::Live };
            let name = id::Upstream::from(name);
            view.upstreams.insert(name.clone(), Upstream { name, spec, state });
        }
    }
}

fn digest(hex: &str) -> Option<Digest> {
    let mut digest = [0; DIGEST_BYTES];
    if hex.len() != 2 * DIGEST_BYTES || !hex.is_ascii() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
