//! Single cases of the replication state machine.

use bytes::Bytes;
use parsleybeam::clock::Time;
use parsleybeam::segment::{
    Actions, Append, Appended, Change, Entry, HardState, Machine, Position, Replica, ReplicaSet,
};

fn replica(name: &str) -> Replica {
    Replica { vm: name.into(), disk: 1 }
}

fn set(epoch: u64, names: &[&str]) -> ReplicaSet {
    ReplicaSet { epoch, replicas: names.iter().map(|name| replica(name)).collect() }
}

fn start(name: &str, hard_state: HardState, last: u64) -> Machine {
    let positions = (1..=last).map(|seq| Position { seq, epoch: 1 });
    Machine::new(replica(name), hard_state, Position::default(), positions, Time(1))
}

fn matched_response(name: &str, epoch: u64, names: &[&str], matched: u64) -> Appended {
    let set = set(epoch, names);
    Appended { from: replica(name), set, matched: Some(matched), retry_after: matched }
}

fn apply_changes(actions: &Actions, mut hard_state: HardState) -> HardState {
    for change in &actions.changes {
        match change {
            Change::Adopt(set) => hard_state = HardState { set: set.clone(), proposed: None },
            Change::Propose(set) => hard_state.proposed = Some(set.clone()),
            _ => {}
        }
    }
    hard_state
}

#[test]
fn propose_join_survives_restart() {
    let names = ["a", "b"];
    let before = HardState { set: set(1, &names), proposed: None };
    let mut primary = start("a", before.clone(), 3);
    primary.set_spares(vec![replica("c")]);
    primary.tick(Time(1));
    primary.appended(matched_response("b", 1, &names, 3), Time(2));
    let actions = primary.appended(matched_response("c", 0, &[], 3), Time(3));
    assert_eq!(actions.swap, None, "a response of an older epoch must be ignored");
    let actions = primary.appended(matched_response("c", 1, &names, 3), Time(3));
    assert_eq!(actions.swap, Some(set(2, &["a", "b", "c"])));
    // The platform may have accepted the set, so c may be the next primary.
    let mut primary = start("a", apply_changes(&actions, before), 3);
    primary.propose(vec![Bytes::from_static(b"x")], Time(4));
    primary.appended(matched_response("b", 1, &names, 4), Time(5));
    assert_eq!(primary.commit(), 0, "nothing may be committed without c");
    primary.appended(matched_response("c", 1, &names, 4), Time(6));
    assert_eq!(primary.commit(), 4);
}

#[test]
fn append_to_another_disk() {
    let names = ["a", "b"];
    let mut backup = start("b", HardState { set: set(1, &names), proposed: None }, 0);
    let position = Position { seq: 1, epoch: 1 };
    let append = Append {
        set: set(1, &names),
        to: Replica { vm: "b".into(), disk: 2 },
        previous: Position::default(),
        entries: vec![Entry { position, payload: Bytes::from_static(b"x") }],
        commit: 0,
        reset: false,
    };
    let (answer, actions) = backup.append(append.clone(), Time(2));
    assert_eq!((answer.matched, actions), (None, Actions::default()));
    let (answer, _) = backup.append(Append { to: replica("b"), ..append }, Time(3));
    assert_eq!(answer.matched, Some(1));
}

#[test]
fn append_older_epoch() {
    let mut backup = start("b", HardState { set: set(2, &["b", "c"]), proposed: None }, 0);
    let append = Append {
        set: set(1, &["a", "b", "c"]),
        to: replica("b"),
        previous: Position::default(),
        entries: Vec::new(),
        commit: 0,
        reset: false,
    };
    let (answer, _) = backup.append(append, Time(2));
    assert_eq!((answer.matched, answer.set.epoch), (None, 2));
    let mut replaced_primary =
        start("a", HardState { set: set(1, &["a", "b", "c"]), proposed: None }, 0);
    replaced_primary.appended(answer, Time(3));
    assert!(!replaced_primary.is_member(), "the old primary must learn that it was replaced");
}

#[test]
fn propose_one_copy() {
    let single = start("a", HardState { set: set(1, &["a"]), proposed: None }, 0);
    assert!(!single.accepts(), "a single replica must not accept records");
}
