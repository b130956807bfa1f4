//! Commits claims to the segments.

use std::cell::RefCell;
use std::collections::HashMap;

use futures_util::future::LocalBoxFuture;

use super::client::Client;
use super::record::{self, Event};
use crate::claim::{Answer, Claim, Claims, Key};
use crate::error::{Error, Kind, Result};
use crate::segment::SegmentId;
use crate::wire::batch::Reply;

/// Commits each claim to the segment that its organisation and idempotency key
/// hash to. Each traffic thread has its own.
pub struct Claimant {
    client: Client,
    /// Claimant identifiers of the claims that were granted to this thread.
    granted: RefCell<HashMap<Key, String>>,
}

impl Claimant {
    /// Creates a claimant that reaches the segments through `client`.
    pub fn new(client: Client) -> Self {
        Self { client, granted: RefCell::default() }
    }

    async fn commit(&self, key: &Key, event: Event) -> Result<Reply> {
        let segment = SegmentId::of(key.organisation.as_str(), &key.idempotency_key);
        self.client.commit(segment, event).await
    }

    /// Removes and returns a granted claim, to finish or release it.
    fn take_granted(&self, key: &Key) -> Result<record::Claim> {
        let claimant = self.granted.borrow_mut().remove(key);
        let claimant = claimant.ok_or_else(|| Error::new(Kind::NotFound, "no such claim"))?;
        Ok(claim(key, claimant))
    }

    async fn claim_once(&self, key: Key) -> Result<Claim> {
        // Unique for each request, so that only its own retries are granted again.
        let claimant = format!("{:032x}", rand::random::<u128>());
        match self.commit(&key, Event::Claim(claim(&key, claimant.clone()))).await? {
            Reply::Granted(()) => {
                self.granted.borrow_mut().insert(key, claimant);
                Ok(Claim::Granted)
            }
            Reply::Claimed(()) => Ok(Claim::Claimed),
            Reply::Finished(answer) => Ok(Claim::Finished(Answer {
                status: u16::try_from(answer.status).unwrap_or(0),
                content_type: answer.content_type,
                body: answer.body,
            })),
            _ => Err(Error::new(Kind::Peer, "not an answer to a claim")),
        }
    }
}

impl Claims for Claimant {
    fn claim(&self, key: Key) -> LocalBoxFuture<'_, Result<Claim>> {
        Box::pin(self.claim_once(key))
    }

    fn finish(&self, key: Key, answer: Answer) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let finish = record::Finish {
                claim: self.take_granted(&key)?,
                status: u32::from(answer.status),
                content_type: answer.content_type,
                body: answer.body,
            };
            self.commit(&key, Event::Finish(finish)).await.map(drop)
        })
    }

    fn release(&self, key: Key) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let claim = self.take_granted(&key)?;
            self.commit(&key, Event::Release(claim)).await.map(drop)
        })
    }
}

fn claim(key: &Key, claimant: String) -> record::Claim {
    record::Claim {
        organisation: key.organisation.as_str().into(),
        idempotency_key: key.idempotency_key.clone(),
        fingerprint: key.fingerprint.to_vec(),
        claimant,
    }
}
