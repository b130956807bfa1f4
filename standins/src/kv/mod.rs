//! A key-value service with a subset of etcd v3's JSON gateway.

pub mod json;
pub mod message;
mod routes;
pub mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use actix_web::web::{self, Data, ServiceConfig};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::server::{Abort, Handle, Service, any_port};
use store::Store;

/// Options of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Interval between progress notifications of an idle watch, in milliseconds.
    pub progress_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { listen: any_port(), progress_ms: 500 }
    }
}

/// Starts the stand-in.
pub fn start(options: Options) -> io::Result<Handle> {
    let (changed, _) = watch::channel(1);
    let shared = Shared {
        store: Mutex::new(Store::new()),
        changed,
        started: Instant::now(),
        progress_ms: options.progress_ms,
        open_watches: Mutex::new(0),
    };
    Handle::start(options.listen, KeyValue(Arc::new(shared)), Arc::<Abort>::default())
}

pub(crate) struct Shared {
    store: Mutex<Store>,
    changed: watch::Sender<i64>,
    started: Instant,
    progress_ms: u64,
    open_watches: Mutex<u64>,
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Expires leases and runs `operation` on the store; wakes the watches if the revision changed.
    fn with<T, F>(&self, operation: F) -> T
    where
        F: FnOnce(&mut Store, u64) -> T,
    {
        let now_ms = self.now_ms();
        let mut store = self.store.lock();
        store.expire(now_ms);
        let result = operation(&mut store, now_ms);
        let revision = store.revision();
        drop(store);
        self.changed.send_if_modified(|last| std::mem::replace(last, revision) != revision);
        result
    }
}

struct KeyValue(Arc<Shared>);

impl Service for KeyValue {
    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(Data::from(self.0.clone()))
            .route("/v3/kv/range", web::post().to(routes::range))
            .route("/v3/kv/put", web::post().to(routes::put))
            .route("/v3/kv/deleterange", web::post().to(routes::delete))
            .route("/v3/kv/txn", web::post().to(routes::txn))
            .route("/v3/kv/compaction", web::post().to(routes::compact))
            .route("/v3/lease/grant", web::post().to(routes::grant))
            .route("/v3/lease/keepalive", web::post().to(routes::keep_alive))
            .route("/v3/lease/revoke", web::post().to(routes::revoke))
            .route("/v3/kv/lease/revoke", web::post().to(routes::revoke))
            .route("/v3/watch", web::post().to(routes::watch))
            .route("/standin/watching", web::get().to(routes::watching));
    }

    fn may_lose_reply(&self, path: &str) -> bool {
        !path.ends_with("/range") && !path.ends_with("/watch")
    }
}
