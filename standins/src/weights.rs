//! A weight store that serves model weights at a limited rate.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::web::{self, Data, ServiceConfig};
use parking_lot::Mutex;

use crate::server::{Abort, Handle, Service, any_port};

/// Options of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Rate limit, in reads per second; also the burst size.
    pub rate: f64,
    /// Size of each response body, in bytes.
    pub bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { listen: any_port(), rate: 2.0, bytes: 1024 }
    }
}

/// Starts the stand-in.
pub fn start(options: Options) -> io::Result<Handle> {
    let store = Store {
        rate: options.rate,
        bytes: options.bytes,
        tokens: Mutex::new((options.rate, Instant::now())),
    };
    Handle::start(options.listen, Weights(Data::new(store)), Arc::<Abort>::default())
}

struct Weights(Data<Store>);

impl Service for Weights {
    fn configure(&self, config: &mut ServiceConfig) {
        config.app_data(self.0.clone()).route("/v1/weights/{model}/{version}", web::get().to(read));
    }
}

struct Store {
    rate: f64,
    bytes: usize,
    tokens: Mutex<(f64, Instant)>,
}

impl Store {
    /// Takes a token for one read, or returns the seconds until one is available.
    fn acquire(&self) -> Result<(), u64> {
        let now = Instant::now();
        let mut tokens = self.tokens.lock();
        let refilled = now.duration_since(tokens.1).as_secs_f64() * self.rate;
        *tokens = ((tokens.0 + refilled).min(self.rate.max(1.0)), now);
        if tokens.0 < 1.0 {
            return Err(((1.0 - tokens.0) / self.rate).ceil() as u64);
        }
        tokens.0 -= 1.0;
        Ok(())
    }
}

async fn read(store: Data<Store>, name: web::Path<(String, String)>) -> HttpResponse {
    if let Err(seconds) = store.acquire() {
        let retry_after = ("retry-after", seconds.max(1).to_string());
        return HttpResponse::TooManyRequests().insert_header(retry_after).finish();
    }
    let (model, version) = name.into_inner();
    let mut body = format!("{model}@{version}\n").into_bytes();
    body.resize(store.bytes.max(body.len()), 0);
    HttpResponse::Ok().content_type("application/octet-stream").body(body)
}
