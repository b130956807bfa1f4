//! HTTP client for the order and state endpoints of engines.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::controller::{Action, Observed, Order};
use crate::id::Model;

/// Result of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream accepted the order.
    Accepted,
    /// The upstream rejected the order because it has seen a newer fencing token.
    Fenced,
    /// The upstream rejected the order for another reason.
    Refused,
    /// No answer arrived, so the order may or may not have taken effect.
    Unknown,
}

#[derive(Serialize)]
struct Body<'a> {
    fence: u64,
    action: Action,
    model: &'a Model,
    version: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
}

/// Sends an order and waits at most `timeout` for the answer.
pub async fn send(
    address: SocketAddr,
    fence: u64,
    model: &Model,
    order: &Order,
    timeout: Duration,
) -> Outcome {
    let body = Body {
        fence,
        action: order.action,
        model,
        version: &order.version,
        adapter: order.adapter.as_deref(),
    };
    let request = awc::Client::new().post(format!("http://{address}/v1/orders")).timeout(timeout);
    match request.send_json(&body).await {
        Ok(answer) if answer.status().is_success() => Outcome::Accepted,
        Ok(answer) if answer.status().as_u16() == 409 => Outcome::Fenced,
        Ok(_) => Outcome::Refused,
        Err(_) => Outcome::Unknown,
    }
}

/// Reads an engine's state; `None` on any failure.
pub async fn read(address: SocketAddr, timeout: Duration) -> Option<Observed> {
    let request = awc::Client::new().get(format!("http://{address}/v1/state")).timeout(timeout);
    let mut answer = request.send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    answer.json().await.ok()
}
