//! Calls between peers: authentication, responses and errors.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use parsleybeam::error::{Error, Kind, Result};
use parsleybeam::id::Vm;
use parsleybeam::wire::{Body, Client, Handler, Peer, Server, member};
use tokio::net::TcpListener;

const SECRET: &str = "a secret of the whole fleet";
const TIMEOUT: Duration = Duration::from_secs(5);

struct Echo;

impl Handler for Echo {
    fn handle(&self, peer: Peer, body: Body) -> LocalBoxFuture<'_, Result<Body>> {
        Box::pin(async move {
            match body {
                Body::Member(message) => Ok(Body::Member(message)),
                _ => Err(Error::new(Kind::Conflict, format!("{} sent this", peer.vm))),
            }
        })
    }
}

async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let server =
        Server::new("store".into(), SECRET.into(), Rc::new(Echo), parsleybeam::log::silent());
    actix_rt::spawn(server.run(listener));
    address
}

fn done() -> Body {
    Body::Member(member::Message { body: Some(member::Body::Done(())) })
}

#[actix_rt::test]
async fn call_answered() {
    let client = Client::new(server().await, Vm::from("entry"), SECRET.into());
    assert_eq!(client.call(done(), TIMEOUT).await, Ok(done()));
    assert_eq!(client.call(done(), TIMEOUT).await, Ok(done()));
}

#[actix_rt::test]
async fn call_refused_kind_preserved() {
    let client = Client::new(server().await, Vm::from("entry"), SECRET.into());
    let body = Body::Hello(parsleybeam::wire::Hello::default());
    let error = client.call(body, TIMEOUT).await.expect_err("the handler must reject this call");
    assert_eq!(error, Error::new(Kind::Conflict, "entry sent this"));
}

#[actix_rt::test]
async fn call_wrong_secret() {
    let client = Client::new(server().await, Vm::from("entry"), "another secret here".into());
    let error = client.call(done(), TIMEOUT).await.expect_err("authentication must fail");
    assert_eq!(error.kind, Kind::Peer);
}
