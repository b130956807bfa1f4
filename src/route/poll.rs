//! Polls engines for load reports and cache events.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{Balancer, CacheEvent, CacheKind, Report, subset};
use crate::clock::Time;
use crate::config::resource::Serves;
use crate::context::Context;
use crate::id;
use crate::view::{State, Upstream, View};

/// Pause between polling rounds.
const INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one request to an engine.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of engines polled concurrently.
const CONCURRENCY: usize = 8;
/// Maximum number of engines that one VM polls.
const MAX_ENGINES: usize = 32;
/// Maximum size of a response body, in bytes.
const MAX_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct LoadResponse {
    running: u32,
    waiting: u32,
    #[serde(default)]
    age_ms: u64,
}

#[derive(Deserialize)]
struct CacheResponse {
    events: Vec<EventResponse>,
}

#[derive(Deserialize)]
struct EventResponse {
    sequence: u64,
    kind: CacheKind,
    prefix: String,
}

/// Polls engines until the process ends.
pub(super) async fn run(context: Context, balancer: Arc<Balancer>) {
    let client = awc::Client::builder().timeout(TIMEOUT).disable_redirects().finish();
    loop {
        let view = context.shared.load();
        balancer.retain(|upstream| view.upstreams.contains_key(upstream));
        let engines = engines(&context, &view);
        futures_util::stream::iter(engines)
            .for_each_concurrent(CONCURRENCY, |engine| poll(&context, &balancer, &client, engine))
            .await;
        tokio::time::sleep(INTERVAL).await;
    }
}

fn engines(context: &Context, view: &View) -> Vec<Upstream> {
    let engine = |upstream: &&Upstream| {
        upstream.state == State::Live && matches!(upstream.spec.serves, Serves::Model(_))
    };
    let names: Vec<id::Upstream> =
        view.upstreams.values().filter(engine).map(|upstream| upstream.name.clone()).collect();
    let polled = subset(&context.vm, &names, MAX_ENGINES);
    polled.into_iter().filter_map(|name| view.upstreams.get(name).cloned()).collect()
}

async fn poll(context: &Context, balancer: &Balancer, client: &awc::Client, engine: Upstream) {
    let load: Option<LoadResponse> = get(client, &engine, "/v1/load").await;
    let Some(load) = load else { return };
    let now = context.clock.now();
    let at = Time(now.0.saturating_sub(load.age_ms.saturating_mul(1_000)));
    balancer.record_load(&engine.name, Report { running: load.running, waiting: load.waiting, at });
    let after = balancer.cache_sequence(&engine.name);
    let path = format!("/v1/cache/events?after={after}");
    let Some(cache) = get::<CacheResponse>(client, &engine, &path).await else { return };
    for event in cache.events {
        let Ok(prefix) = u64::from_str_radix(&event.prefix, 16) else { continue };
        let event = CacheEvent { sequence: event.sequence, kind: event.kind, prefix };
        balancer.record_cache_event(&engine.name, event);
    }
}

async fn get<T>(client: &awc::Client, engine: &Upstream, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let request = client.get(format!("http://{}{path}", engine.spec.address));
    let mut response = request.send().await.ok()?;
    let bytes = response.body().limit(MAX_BYTES).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}
