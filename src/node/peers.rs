//! Peer server, run on the control thread.

use std::net::TcpListener;
use std::rc::Rc;

use crate::context::Context;
use crate::emit;
use crate::event::Event;
use crate::wire::{Dispatcher, Server};

/// Serves peers until the listener fails.
pub(super) async fn serve(
    context: Context,
    secret: String,
    dispatcher: Dispatcher,
    socket: TcpListener,
) {
    let server = Server::new(context.vm.clone(), secret, Rc::new(dispatcher), context.log.clone());
    let listener =
        tokio::net::TcpListener::from_std(socket).expect("the listener is bound and non-blocking");
    if let Err(error) = server.run(listener).await {
        emit!(context.log, Event::TaskFailed, "task" => "peers", "reason" => error.detail);
    }
}
