//! A model engine: batches continuously, knows no priorities, admits all.

pub mod answer;
mod cache;
mod load;
mod orders;
mod routes;
mod run;
pub mod token;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::web::{self, Data, ServiceConfig};

use crate::record::Record;
use crate::server::{Handle, Lifeline, Service, any_port};
use cache::Cache;
use load::Load;
use orders::Orders;
pub use run::Cancelled;
use run::Runs;

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Requests that it runs at once without slowing.
    pub capacity: u32,
    /// Time to the first token of an idle engine, in microseconds.
    pub first_token_us: u64,
    /// Time between tokens of an idle engine, in microseconds.
    pub token_us: u64,
    /// Prompt prefixes that its memory holds.
    pub prefixes: usize,
    /// Lag of cache events, in milliseconds.
    pub cache_lag_ms: u64,
    /// Every how-manieth cache event is never told; zero: none.
    pub cache_gap: u64,
    /// Lag of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Time that an order takes, in milliseconds.
    pub order_ms: u64,
    /// A prompt that contains this crashes it.
    pub poison: String,
    /// Whether a crash ends the process.
    pub process: bool,
    /// Models it has at the start; empty: it serves any until told otherwise.
    pub models: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: any_port(),
            capacity: 8,
            first_token_us: 4_000,
            token_us: 1_000,
            prefixes: 32,
            cache_lag_ms: 100,
            cache_gap: 7,
            load_lag_ms: 50,
            fenced: true,
            order_ms: 5,
            poison: "POISON".into(),
            process: false,
            models: Vec::new(),
        }
    }
}

/// Starts it.
pub fn start(options: Options) -> io::Result<Handle> {
    let lifeline = if options.process { Lifeline::of_process() } else { Arc::default() };
    let engine = Engine {
        record: Data::default(),
        runs: Data::new(Runs::new(&options, lifeline.clone())),
        cache: Data::new(Cache::new(&options)),
        load: Data::new(Load::new(options.load_lag_ms, options.capacity)),
        orders: Data::new(Orders::new(&options)),
    };
    Handle::start(options.listen, engine, lifeline)
}

struct Engine {
    record: Data<Record>,
    runs: Data<Runs>,
    cache: Data<Cache>,
    load: Data<Load>,
    orders: Data<Orders>,
}

impl Service for Engine {
    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(self.record.clone())
            .app_data(self.runs.clone())
            .app_data(self.cache.clone())
            .app_data(self.load.clone())
            .app_data(self.orders.clone())
            .route("/v1/completions", web::post().to(routes::complete))
            .route("/v1/chat/completions", web::post().to(routes::chat))
            .route("/v1/cancel", web::post().to(routes::cancel))
            .route("/v1/load", web::get().to(routes::load))
            .route("/v1/cache/events", web::get().to(routes::cache_events))
            .route("/v1/orders", web::post().to(routes::order))
            .route("/v1/state", web::get().to(routes::state))
            .route("/standin/seen", web::get().to(crate::plain::seen))
            .route("/standin/cancelled", web::get().to(routes::cancelled));
    }

    fn restart(&self) {
        self.runs.forget();
        self.cache.forget();
        self.orders.forget();
    }
}
