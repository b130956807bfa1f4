//! Requests with an idempotency key, repeated through several entry VMs.

mod common;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use common::{Behaviour, Engine, Entry, entry, parse_problem, post, send, view};
use futures_util::future::{LocalBoxFuture, ready};
use parking_lot::Mutex;
use parsleybeam::claim::{Answer, Claim, Claims, Key};
use parsleybeam::error::{Error, Kind, Result};

const BILL: &str = r#"{"bill":1}"#;

/// In-memory claims that all entry VMs of a fleet share.
#[derive(Clone, Default)]
struct MemoryClaims {
    claims: Arc<Mutex<HashMap<String, Record>>>,
}

type Record = (Key, Option<Answer>);

impl Claims for MemoryClaims {
    fn claim(&self, key: Key) -> LocalBoxFuture<'_, Result<Claim>> {
        let mut claims = self.claims.lock();
        let claim = match claims.get(&key.idempotency_key) {
            Some((claimed, _)) if *claimed != key => {
                Err(Error::new(Kind::Conflict, "another body"))
            }
            Some((_, Some(answer))) => Ok(Claim::Finished(answer.clone())),
            Some((_, None)) => Ok(Claim::Claimed),
            None => {
                claims.insert(key.idempotency_key.clone(), (key, None));
                Ok(Claim::Granted)
            }
        };
        Box::pin(ready(claim))
    }

    fn finish(&self, key: Key, answer: Answer) -> LocalBoxFuture<'_, Result<()>> {
        self.claims.lock().insert(key.idempotency_key.clone(), (key, Some(answer)));
        Box::pin(ready(Ok(())))
    }

    fn release(&self, key: Key) -> LocalBoxFuture<'_, Result<()>> {
        self.claims.lock().remove(&key.idempotency_key);
        Box::pin(ready(Ok(())))
    }
}

fn fleet(services: &[std::net::SocketAddr]) -> [Entry; 2] {
    let claims = MemoryClaims::default();
    [(); 2].map(|()| {
        let claims = claims.clone();
        entry(view(&[], services), move || Some(Rc::new(claims.clone()) as Rc<dyn Claims>))
    })
}

async fn bill(entry: &Entry, body: &str) -> (u16, String) {
    send(post(entry, "/bill").insert_header(("idempotency-key", "bill-1")), body).await
}

#[actix_rt::test]
async fn claim_repeated_gets_first_answer() {
    let service = Engine::default();
    let [first, second] = fleet(&[service.start()]);
    let answer = bill(&first, BILL).await;
    assert_eq!(answer.0, 200);
    assert_eq!(bill(&second, BILL).await, answer);
    assert_eq!(service.count(), 1);
}

#[actix_rt::test]
async fn claim_repeated_after_unknown() {
    let service = Engine::default();
    service.enqueue([Behaviour::Disconnect]);
    let [first, second] = fleet(&[service.start()]);
    assert_eq!(parse_problem(&bill(&first, BILL).await).2, "unknown");
    let repeated = parse_problem(&bill(&second, BILL).await);
    assert_eq!(repeated, (409, "in-progress".into(), "unknown".into()));
    assert_eq!(service.count(), 1);
}

#[actix_rt::test]
async fn claim_released_when_not_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let refused = listener.local_addr().expect("address");
    drop(listener);
    let service = Engine::default();
    let [first, second] = fleet(&[refused]);
    assert_eq!(parse_problem(&bill(&first, BILL).await).2, "not-run");
    second.context.shared.view.store(Arc::new(view(&[], &[service.start()])));
    assert_eq!(bill(&second, BILL).await.0, 200);
    assert_eq!(service.count(), 1);
}

#[actix_rt::test]
async fn claim_other_body() {
    let service = Engine::default();
    let [first, second] = fleet(&[service.start()]);
    assert_eq!(bill(&first, BILL).await.0, 200);
    let other = parse_problem(&bill(&second, r#"{"bill":2}"#).await);
    assert_eq!(other, (409, "conflict".into(), "not-run".into()));
    assert_eq!(service.count(), 1);
}

#[actix_rt::test]
async fn claim_caller_gone() {
    let service = Engine::default();
    service.enqueue([Behaviour::Delayed]);
    let [first, second] = fleet(&[service.start()]);
    let request = post(&first, "/bill").insert_header(("idempotency-key", "bill-1"));
    let call = actix_rt::spawn(async move { request.send_body(BILL).await.map(|_| ()) });
    common::wait_until("the service received the request", || service.count() == 1).await;
    call.abort();
    let mut answer = bill(&second, BILL).await;
    for _ in 0..200 {
        if answer.0 == 200 {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        answer = bill(&second, BILL).await;
    }
    assert_eq!((answer.0, service.count()), (200, 1));
}
