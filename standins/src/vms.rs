//! The platform's list of VMs, in which changes become visible after a lag.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::HttpResponse;
use actix_web::web::{self, Data, ServiceConfig};
use parking_lot::Mutex;
use parsleybeam::kv::VmInfo;

use crate::server::{Abort, Handle, Service, any_port};

/// Options of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time until a change becomes visible, in milliseconds.
    pub lag_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { listen: any_port(), lag_ms: 0 }
    }
}

/// Starts the stand-in with an empty list.
pub fn start(options: Options) -> io::Result<Handle> {
    let list = List { lag: Duration::from_millis(options.lag_ms), state: Mutex::default() };
    Handle::start(options.listen, Vms(Data::new(list)), Arc::<Abort>::default())
}

struct Vms(Data<List>);

impl Service for Vms {
    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(self.0.clone())
            .route("/v1/vms", web::get().to(list))
            .route("/v1/vms", web::put().to(put))
            .route("/v1/vms/{vm}", web::put().to(put_named))
            .route("/v1/vms/{vm}", web::delete().to(delete));
    }
}

/// A change: when it becomes visible, the VM's name and its new entry; `None` removes it.
type Change = (Instant, String, Option<VmInfo>);

#[derive(Default)]
struct State {
    visible: BTreeMap<String, VmInfo>,
    pending: Vec<Change>,
}

struct List {
    lag: Duration,
    state: Mutex<State>,
}

impl List {
    fn schedule(&self, vm: String, listed: Option<VmInfo>) {
        self.state.lock().pending.push((Instant::now() + self.lag, vm, listed));
    }

    fn visible(&self) -> Vec<VmInfo> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let due = state.pending.partition_point(|(at, ..)| *at <= now);
        let changes: Vec<_> = state.pending.drain(..due).collect();
        for (_, vm, listed) in changes {
            match listed {
                Some(listed) => state.visible.insert(vm, listed),
                None => state.visible.remove(&vm),
            };
        }
        state.visible.values().cloned().collect()
    }
}

async fn list(list: Data<List>) -> web::Json<Vec<VmInfo>> {
    web::Json(list.visible())
}

async fn put(list: Data<List>, vm: web::Json<VmInfo>) -> HttpResponse {
    let listed = vm.into_inner();
    list.schedule(listed.vm.as_str().to_owned(), Some(listed));
    HttpResponse::NoContent().finish()
}

async fn put_named(
    list: Data<List>,
    vm: web::Json<VmInfo>,
    name: web::Path<String>,
) -> HttpResponse {
    list.schedule(name.into_inner(), Some(vm.into_inner()));
    HttpResponse::NoContent().finish()
}

async fn delete(list: Data<List>, name: web::Path<String>) -> HttpResponse {
    list.schedule(name.into_inner(), None);
    HttpResponse::NoContent().finish()
}
