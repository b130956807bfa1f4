//! Sizes of the two sites that run parsleybeam today.

use std::net::SocketAddr;
use std::str::FromStr;

use parsleybeam::config::resource;
use parsleybeam::id::{DataCentre, Organisation, Vm};
use parsleybeam::view::{Member, Role, State, Upstream, View};

/// Sizes and distances.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its data centres.
    pub data_centres: &'static [&'static str],
    /// One way between data centres, in microseconds.
    pub between_us: u64,
    /// One way to clients, in microseconds.
    pub client_us: u64,
    /// Entry VMs.
    pub entries: usize,
    /// Replicas of its one model.
    pub replicas: usize,
    /// Requests a second of each organisation, largest first.
    pub rates: &'static [f64],
}

/// Three data centres in the north of Portugal.
pub const LIMPA_NORTE: Site = Site {
    name: "limpa-norte",
    data_centres: &["porto", "braga", "viana"],
    between_us: 500,
    client_us: 1_000,
    entries: 8,
    replicas: 10,
    rates: &[16.0, 12.0, 8.0, 2.0, 2.0, 1.0, 1.0, 1.0],
};

/// Four data centres in Dalmatia.
pub const JADRANKA: Site = Site {
    name: "jadranka",
    data_centres: &["zadar", "split", "hvar", "sibenik"],
    between_us: 1_500,
    client_us: 3_000,
    entries: 9,
    replicas: 10,
    rates: &[14.0, 12.0, 10.0, 2.0, 2.0, 1.0, 1.0, 1.0],
};

/// A site that isn't known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no such site; there are limpa-norte and jadranka")]
pub struct Unknown;

impl FromStr for Site {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        [LIMPA_NORTE, JADRANKA].into_iter().find(|site| site.name == name).ok_or(Unknown)
    }
}

impl Site {
    /// Its organisations, largest first.
    pub fn organisations(&self) -> Vec<Organisation> {
        (0..self.rates.len()).map(|number| format!("organisation-{number}").into()).collect()
    }

    /// Its entry VMs, spread over the data centres.
    pub fn members(&self) -> Vec<Member> {
        (0..self.entries).map(|number| self.member(number)).collect()
    }

    /// A view of its entry VMs and its replicas.
    pub fn view(&self, capacity: u32) -> View {
        let members = self.members().into_iter().map(|member| (member.vm.clone(), member));
        let upstreams = (0..self.replicas).map(|number| self.upstream(number, capacity));
        View {
            members: members.collect(),
            upstreams: upstreams.map(|upstream| (upstream.name.clone(), upstream)).collect(),
            ..View::default()
        }
    }

    fn upstream(&self, number: usize, capacity: u32) -> Upstream {
        let spec = resource::Upstream {
            address: SocketAddr::from(([127, 0, 0, 1], number as u16 + 1)),
            data_centre: DataCentre::from(self.data_centres[number % self.data_centres.len()]),
            serves: resource::Serves::Model("notes".into()),
            capacity,
            fenced: true,
        };
        Upstream { name: format!("engine-{number}").into(), spec, state: State::Live }
    }

    fn member(&self, number: usize) -> Member {
        let address = SocketAddr::from(([127, 0, 0, 1], number as u16 + 1));
        Member {
            vm: Vm::from(format!("entry-{number}")),
            incarnation: 1,
            role: Role::Entry,
            data_centre: DataCentre::from(self.data_centres[number % self.data_centres.len()]),
            peer: address,
            caller: Some(address),
            state: State::Live,
        }
    }
}
