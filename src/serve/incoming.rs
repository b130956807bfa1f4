//! Bodies of callers' requests, charged while this VM holds them.
//!
//! A body of a stated length is refused before its first byte is kept, one without a length as
//! soon as what is left doesn't hold it. The rest is read and dropped, so that the caller gets
//! the refusal and not a reset connection.

use std::time::Duration;

use actix_web::web;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use super::context::Context;
use super::held::{Charge, Charged, Kind};
use super::refusal::retry_after;
use crate::error::{self, Error};

/// Time for which the rest of a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reads a body of `limit` bytes at most; `length` is that which its caller states.
pub(super) async fn read(
    context: &Context,
    mut payload: web::Payload,
    length: Option<usize>,
    limit: usize,
) -> error::Result<Bytes> {
    let mut charge = context.held.charge(Kind::Request);
    let collected = collect(context, &mut payload, &mut charge, length, limit).await;
    match collected {
        Ok(body) if body.is_empty() => Ok(body),
        Ok(body) => Ok(Bytes::from_owner(Charged { bytes: body, charge })),
        Err(error) => {
            drop(charge);
            if error.kind == error::Kind::Overloaded {
                discard(payload, limit).await;
            }
            Err(error)
        }
    }
}

async fn collect(
    context: &Context,
    payload: &mut web::Payload,
    charge: &mut Charge,
    length: Option<usize>,
    limit: usize,
) -> error::Result<Bytes> {
    let too_large = || Error::new(error::Kind::TooLarge, format!("the body is over {limit} bytes"));
    let length = length.unwrap_or_default();
    if length > limit {
        return Err(too_large());
    }
    if !charge.try_set(length) {
        return Err(shortage(context));
    }
    let mut body = BytesMut::with_capacity(length);
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            Error::new(error::Kind::Malformed, format!("the body broke off: {error}"))
        })?;
        if body.len() + chunk.len() > limit {
            return Err(too_large());
        }
        // A body that grows may take twice its length.
        let needed = body.len() + chunk.len();
        if needed > body.capacity() && !charge.try_set(2 * needed) {
            return Err(shortage(context));
        }
        body.extend_from_slice(&chunk);
    }
    charge.set(body.capacity());
    Ok(body.freeze())
}

async fn discard(mut payload: web::Payload, limit: usize) {
    let rest = async {
        let mut bytes = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            bytes += chunk.len();
            if bytes > limit {
                return;
            }
        }
    };
    // The caller is slow or sends too much: it finds the connection closed.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
}

fn shortage(context: &Context) -> Error {
    metrics::counter!("serve_answers_cut_total", "cause" => "refused").increment(1);
    let detail = "requests and answers hold this VM's memory; use another one";
    Error::new(error::Kind::Overloaded, detail).retry_after(retry_after(context, 0))
}
