//! Leasing by an upstream's owner: needed slots take precedence over spare ones.

use std::collections::BTreeMap;

use parsleybeam::admission::capacity::{Demand, Owner};
use parsleybeam::clock::Time;
use parsleybeam::id::Vm;

const CAPACITY: u32 = 16;
const VMS: u32 = 9;
/// Interval between a VM's requests for slots, in milliseconds.
const INTERVAL_MS: u64 = 300;

fn vm(number: u32) -> Vm {
    format!("entry-{number}").into()
}

/// Lets every VM request slots in turn, for several rounds; returns the last leases.
fn lease(needs: &[u32]) -> Vec<u32> {
    let mut owner = Owner::new(Time(0));
    let reserve: BTreeMap<Vm, u32> = (0..VMS).map(|number| (vm(number), 1)).collect();
    owner.configure(CAPACITY, reserve);
    let mut held = vec![0; needs.len()];
    for round in 1..6 {
        let now = Time::from_millis(10_000 + round * INTERVAL_MS);
        for (number, need) in needs.iter().enumerate() {
            let wanted = need + 1;
            let demand =
                Demand { wanted, needed: *need, running: 0, held: held[number], sequence: round };
            held[number] = owner.lease(&vm(number as u32), demand, now);
        }
    }
    held
}

#[test]
fn lease_covers_needs_before_spares() {
    let mut needs = vec![0; VMS as usize];
    needs[0] = CAPACITY;
    assert_eq!(lease(&needs)[0], CAPACITY, "spare slots of idle VMs are leased to a busy one");
}

#[test]
fn lease_grants_spares_when_idle() {
    let got = lease(&vec![0; VMS as usize]);
    assert_eq!(got, vec![1; VMS as usize], "each idle VM leases one spare slot");
}

#[test]
fn lease_divides_needs_evenly() {
    let mut needs = vec![0; VMS as usize];
    (needs[0], needs[1], needs[2]) = (CAPACITY, CAPACITY, 2);
    let got = lease(&needs);
    assert_eq!(got[..3], [7, 7, 2]);
}
