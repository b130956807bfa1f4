//! Orders and states over HTTP, as engines speak them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::controller::{Action, Observed, Order};
use crate::id::Model;

/// How an upstream took an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It does what it was told.
    Accepted,
    /// It knows a newer holder.
    Fenced,
    /// It refused for another reason.
    Refused,
    /// Nobody knows.
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

/// Sends an order; it is given up after `timeout`.
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
    let call = awc::Client::new().post(format!("http://{address}/v1/orders")).timeout(timeout);
    match call.send_json(&body).await {
        Ok(answer) if answer.status().is_success() => Outcome::Accepted,
        Ok(answer) if answer.status().as_u16() == 409 => Outcome::Fenced,
        Ok(_) => Outcome::Refused,
        Err(_) => Outcome::Unknown,
    }
}

/// Reads an engine's state.
pub async fn read(address: SocketAddr, timeout: Duration) -> Option<Observed> {
    let call = awc::Client::new().get(format!("http://{address}/v1/state")).timeout(timeout);
    let mut answer = call.send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    answer.json().await.ok()
}
