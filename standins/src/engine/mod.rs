//! A model engine with continuous batching, which admits every request and has no priorities.

mod cache;
mod load;
pub mod openai;
mod orders;
mod routes;
mod run;
pub mod token;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::web::{self, Data, ServiceConfig};

use crate::record::Record;
use crate::server::{Abort, Handle, Service, any_port};
use cache::Cache;
use load::Load;
use orders::Orders;
pub use run::Cancelled;
use run::Runs;

/// Options of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Requests that it runs at once without overload.
    pub capacity: u32,
    /// Time to the first token of an idle engine, in microseconds.
    pub first_token_us: u64,
    /// Time between tokens of an idle engine, in microseconds.
    pub token_us: u64,
    /// Maximum number of cached prompt prefixes.
    pub prefixes: usize,
    /// Delay of cache events, in milliseconds.
    pub cache_lag_ms: u64,
    /// Drops every nth cache event; zero drops none.
    pub cache_drop_interval: u64,
    /// Age at which a load report is refreshed, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether orders with an outdated fencing token are refused.
    pub fenced: bool,
    /// Duration of an order, in milliseconds.
    pub order_ms: u64,
    /// Text that crashes the engine when a prompt contains it; empty for none.
    pub poison: String,
    /// Whether a crash aborts the process rather than stop the server.
    pub process: bool,
    /// Models loaded at the start; if empty, it serves any model until the first order.
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
            cache_drop_interval: 7,
            load_lag_ms: 50,
            fenced: true,
            order_ms: 5,
            poison: "POISON".into(),
            process: false,
            models: Vec::new(),
        }
    }
}

/// Starts the stand-in.
pub fn start(options: Options) -> io::Result<Handle> {
    let abort = if options.process { Abort::of_process() } else { Arc::default() };
    let engine = Engine {
        record: Data::default(),
        runs: Data::new(Runs::new(&options, abort.clone())),
        cache: Data::new(Cache::new(&options)),
        load: Data::new(Load::new(options.load_lag_ms, options.capacity)),
        orders: Data::new(Orders::new(&options)),
    };
    Handle::start(options.listen, engine, abort)
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
        self.runs.reset();
        self.cache.reset();
        self.orders.reset();
    }
}
