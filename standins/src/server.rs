//! HTTP server of one stand-in: a thread, a listener, injected faults and call counters.

use std::any::Any;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{Extensions, ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::middleware::{Next, from_fn};
use actix_web::web::{self, Data, ServiceConfig};
use actix_web::{App, Error, HttpRequest, HttpResponse, HttpServer};
use parking_lot::Mutex;

use crate::faults::{Change, Faults};

/// Routes and state of a stand-in.
pub trait Service: Send + Sync {
    /// Registers its routes and shared state.
    fn configure(&self, config: &mut ServiceConfig);

    /// Clears the state that a restarted process would lose.
    fn restart(&self) {}

    /// Whether the `lose_replies` fault applies to calls of this path.
    fn may_lose_reply(&self, _path: &str) -> bool {
        true
    }
}

/// Number of calls since the start, by path.
#[derive(Debug, Default)]
pub struct Counters {
    calls: Mutex<BTreeMap<String, u64>>,
}

impl Counters {
    /// Counts one call of `path`.
    pub fn count(&self, path: &str) {
        *self.calls.lock().entry(path.to_owned()).or_default() += 1;
    }

    /// Returns the number of calls of each path.
    pub fn all(&self) -> BTreeMap<String, u64> {
        self.calls.lock().clone()
    }
}

/// Lets a request handler crash its own stand-in.
#[derive(Debug, Default)]
pub struct Abort {
    handle: Mutex<Option<ServerHandle>>,
    process: bool,
}

impl Abort {
    /// Creates a trigger that aborts the whole process.
    pub fn of_process() -> Arc<Self> {
        Arc::new(Self { handle: Mutex::default(), process: true })
    }

    /// Aborts the process or stops the server; open requests get no response.
    pub fn trigger(&self) {
        if self.process {
            std::process::abort();
        }
        if let Some(handle) = self.handle.lock().take() {
            drop(handle.stop(false));
        }
    }
}

/// A running stand-in; dropping it stops it.
pub struct Handle {
    /// Address that it listens on; a restart keeps it.
    pub address: SocketAddr,
    /// Faults that it injects.
    pub faults: Arc<Faults>,
    /// Calls that it received.
    pub counters: Arc<Counters>,
    abort: Arc<Abort>,
    service: Arc<dyn Service>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Handle {
    /// Starts a stand-in that listens on `listen`; port zero picks a free port.
    pub fn start<S>(listen: SocketAddr, service: S, abort: Arc<Abort>) -> io::Result<Self>
    where
        S: Service + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        let mut running = Self {
            address: listener.local_addr()?,
            faults: Arc::default(),
            counters: Arc::default(),
            abort,
            service: Arc::new(service),
            thread: None,
        };
        running.serve(listener)?;
        Ok(running)
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the number of calls since the start, failed ones included.
    pub fn calls(&self) -> u64 {
        self.counters.all().values().sum()
    }

    /// Changes the faults that it injects.
    pub fn set_faults(&self, change: Change) {
        self.faults.apply(&change);
    }

    /// Stops the server and closes every connection; nothing listens until `restart`.
    pub fn crash(&mut self) {
        self.abort.trigger();
        self.wait();
    }

    /// Stops the server if it runs, and starts it again on the same address.
    pub fn restart(&mut self) -> io::Result<()> {
        self.crash();
        self.service.restart();
        self.serve(TcpListener::bind(self.address)?)
    }

    /// Blocks until the server has stopped.
    pub fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    fn serve(&mut self, listener: TcpListener) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel();
        let service = self.service.clone();
        let faults = Data::from(self.faults.clone());
        let counters = Data::from(self.counters.clone());
        let thread = std::thread::Builder::new().name("standin".into()).spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = HttpServer::new(move || {
                    let service = service.clone();
                    let shared = Data::new(service.clone());
                    App::new()
                        .app_data(faults.clone())
                        .app_data(counters.clone())
                        .app_data(shared)
                        .app_data(web::PayloadConfig::new(BODY_LIMIT))
                        .app_data(web::JsonConfig::default().limit(BODY_LIMIT))
                        .wrap(from_fn(inject_faults))
                        .route("/standin/faults", web::post().to(apply_faults))
                        .route("/standin/counters", web::get().to(list_counters))
                        .configure(|config| service.configure(config))
                })
                .workers(1)
                .disable_signals()
                .shutdown_timeout(0)
                .client_request_timeout(Duration::ZERO)
                .on_connect(store_socket)
                .listen(listener)?
                .run();
                let _ = sender.send(server.handle());
                server.await
            })
        })?;
        *self.abort.handle.lock() = receiver.recv().ok();
        self.thread = Some(thread);
        Ok(())
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        if let Some(handle) = self.abort.handle.lock().take() {
            drop(handle.stop(false));
        }
        self.wait();
    }
}

/// Maximum size of a request body, in bytes.
const BODY_LIMIT: usize = 64 << 20;

/// Duplicate of a connection's socket, to detect a disconnect and to close the connection.
#[derive(Clone)]
struct Socket(Arc<TcpStream>);

impl Socket {
    fn shutdown(&self) {
        let _ = self.0.shutdown(std::net::Shutdown::Both);
    }
}

fn store_socket(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<actix_rt::net::TcpStream>() else { return };
    let _ = stream.set_nodelay(true);
    if let Ok(handle) = stream.as_fd().try_clone_to_owned() {
        data.insert(Socket(Arc::new(TcpStream::from(handle))));
    }
}

/// Returns whether the client has closed its connection.
pub fn is_disconnected(request: &HttpRequest) -> bool {
    let Some(socket) = request.conn_data::<Socket>() else { return false };
    match socket.0.peek(&mut [0]) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Closes the client's connection without a response.
pub fn close_connection(request: &HttpRequest) {
    if let Some(socket) = request.conn_data::<Socket>() {
        socket.shutdown();
    }
}

async fn inject_faults<B>(
    call: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<BoxBody>, Error>
where
    B: MessageBody + 'static,
{
    let path = call.path().to_owned();
    if path.starts_with("/standin/") {
        return Ok(next.call(call).await?.map_into_boxed_body());
    }
    let (Some(faults), Some(counters), Some(service)) = (
        call.app_data::<Data<Faults>>().cloned(),
        call.app_data::<Data<Counters>>().cloned(),
        call.app_data::<Data<Arc<dyn Service>>>().cloned(),
    ) else {
        return Ok(next.call(call).await?.map_into_boxed_body());
    };
    counters.count(&path);
    faults.wait_unfrozen().await;
    actix_rt::time::sleep(faults.delay()).await;
    let socket = call.request().conn_data::<Socket>().cloned();
    if faults.outage() {
        socket.iter().for_each(Socket::shutdown);
        return Ok(call.into_response(HttpResponse::ServiceUnavailable().finish()));
    }
    if faults.refused() {
        return Ok(call.into_response(HttpResponse::ServiceUnavailable().finish()));
    }
    let lose = service.may_lose_reply(&path) && faults.take_lost_reply();
    let response = next.call(call).await?.map_into_boxed_body();
    if lose {
        socket.iter().for_each(Socket::shutdown);
    }
    actix_rt::time::sleep(faults.delay() + faults.response_delay()).await;
    faults.wait_unfrozen().await;
    Ok(response)
}

async fn apply_faults(faults: Data<Faults>, change: web::Json<Change>) -> HttpResponse {
    faults.apply(&change);
    HttpResponse::NoContent().finish()
}

async fn list_counters(counters: Data<Counters>) -> web::Json<BTreeMap<String, u64>> {
    web::Json(counters.all())
}

/// Serializes a value as one line of JSON.
pub fn json_line<T>(value: &T) -> bytes::Bytes
where
    T: serde::Serialize,
{
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

/// Returns the loopback address with port zero, which binds to a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a header's value if it is present and valid text.
pub fn header(request: &HttpRequest, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(str::to_owned)
}
