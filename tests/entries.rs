//! Discovery of entry VMs: their selection, order and lifetime.

use std::collections::BTreeSet;

use parsleybeam::admission::home;
use parsleybeam::api::entries::{self, MAX_LIFETIME_MS, MIN_LIFETIME_MS};
use parsleybeam::config::resource::Organisation;
use parsleybeam::id::DataCentre;
use parsleybeam::view::{Member, Role, State, View};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn view() -> View {
    let mut view = View::default();
    for index in 0..9_u16 {
        let data_centre = ["porto", "braga", "viana"][usize::from(index) % 3];
        let member = Member {
            vm: format!("entry-{index}").into(),
            incarnation: 1,
            role: if index == 8 { Role::Store } else { Role::Entry },
            data_centre: data_centre.into(),
            peer: ([127, 0, 0, 1], 7_000 + index).into(),
            caller: Some(([127, 0, 0, 1], 8_000 + index).into()),
            state: if index == 7 { State::Leaving } else { State::Live },
        };
        view.members.insert(member.vm.clone(), member);
    }
    for (name, rate) in [("ducts", 20.0), ("hoods", 900.0)] {
        view.organisations.insert(name.into(), Organisation { rate, burst: 10, weight: 1 });
    }
    view
}

fn braga() -> DataCentre {
    "braga".into()
}

#[test]
fn select_live_entries_nearest_first() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let answer = entries::select(&view(), &braga(), None, &mut random);
    assert_eq!(answer.entries.len(), 7);
    assert!(
        answer.entries.iter().all(|entry| entry.vm.as_str() != "entry-7"),
        "a leaving VM must not be listed"
    );
    let near = answer.entries.iter().position(|entry| entry.data_centre != braga());
    assert_eq!(near, Some(2));
}

#[test]
fn select_homes_first() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let homes = home::of(&view(), &"ducts".into());
    for _ in 0..20 {
        let answer = entries::select(&view(), &braga(), Some(&"ducts".into()), &mut random);
        assert!(answer.entries[..2].iter().all(|entry| homes.contains(&entry.vm)));
    }
}

#[test]
fn select_order_and_lifetime_vary() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let answers: Vec<_> =
        (0..50).map(|_| entries::select(&view(), &braga(), None, &mut random)).collect();
    let first: BTreeSet<_> = answers.iter().map(|entry| entry.entries[0].vm.clone()).collect();
    assert_eq!(first.len(), 2, "each live VM of the data centre must sometimes be first");
    let lifetimes: BTreeSet<_> = answers.iter().map(|entry| entry.lifetime_ms).collect();
    assert!(lifetimes.len() > 20);
    assert!(lifetimes.iter().all(|span| (MIN_LIFETIME_MS..=MAX_LIFETIME_MS).contains(span)));
}

#[test]
fn homes_grow_with_rate_over_data_centres() {
    let view = view();
    let small = home::of(&view, &"ducts".into());
    assert_eq!(small.len(), 2);
    assert_ne!(view.members[&small[0]].data_centre, view.members[&small[1]].data_centre);
    assert_eq!(home::of(&view, &"hoods".into()).len(), 5);
}
