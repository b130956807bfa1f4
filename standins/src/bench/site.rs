//! Sizes of the two sites that run parsleybeam in production.

use std::net::SocketAddr;
use std::str::FromStr;

use parsleybeam::config::resource;
use parsleybeam::id::{DataCentre, Organisation, Vm};
use parsleybeam::view::{Member, Role, State, Upstream, View};

/// Sizes and network latencies of a site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Name on the command line.
    pub name: &'static str,
    /// Names of the data centres.
    pub data_centres: &'static [&'static str],
    /// One-way latency between data centres, in microseconds.
    pub data_centre_latency_us: u64,
    /// One-way latency to clients, in microseconds.
    pub client_latency_us: u64,
    /// Number of entry VMs.
    pub entries: usize,
    /// Number of replicas of its only model.
    pub replicas: usize,
    /// Request rates of the organisations in requests per second, largest first.
    pub rates: &'static [f64],
}

/// Three data centres in the north of Portugal.
pub const LIMPA_NORTE: Site = Site {
    name: "limpa-norte",
    data_centres: &["porto", "braga", "viana"],
    data_centre_latency_us: 500,
    client_latency_us: 1_000,
    entries: 8,
    replicas: 10,
    rates: &[16.0, 12.0, 8.0, 2.0, 2.0, 1.0, 1.0, 1.0],
};

/// Four data centres in Dalmatia.
pub const JADRANKA: Site = Site {
    name: "jadranka",
    data_centres: &["zadar", "split", "hvar", "sibenik"],
    data_centre_latency_us: 1_500,
    client_latency_us: 3_000,
    entries: 9,
    replicas: 10,
    rates: &[14.0, 12.0, 10.0, 2.0, 2.0, 1.0, 1.0, 1.0],
};

/// Error for an unknown site name.
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
    /// Returns the organisations, in the order of their rates.
    pub fn organisations(&self) -> Vec<Organisation> {
        (0..self.rates.len()).map(|number| format!("organisation-{number}").into()).collect()
    }

    /// Returns the entry VMs, spread evenly over the data centres.
    pub fn members(&self) -> Vec<Member> {
        (0..self.entries).map(|number| self.member(number)).collect()
    }

    /// Returns a view with the entry VMs and with replicas of the given capacity.
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
