//! One stand-in's server: a thread, an address, faults and counters.

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

/// What a stand-in answers.
pub trait Service: Send + Sync {
    /// Adds its paths.
    fn configure(&self, config: &mut ServiceConfig);

    /// Forgets what a restarted process would have forgotten.
    fn restart(&self) {}

    /// Whether a lost reply may hit this path.
    fn loses(&self, _path: &str) -> bool {
        true
    }
}

/// Calls by path since the start.
#[derive(Debug, Default)]
pub struct Counters {
    calls: Mutex<BTreeMap<String, u64>>,
}

impl Counters {
    /// Counts one call.
    pub fn count(&self, path: &str) {
        *self.calls.lock().entry(path.to_owned()).or_default() += 1;
    }

    /// Calls by path.
    pub fn all(&self) -> BTreeMap<String, u64> {
        self.calls.lock().clone()
    }
}

/// Ends a stand-in from inside, as a crash does.
#[derive(Debug, Default)]
pub struct Lifeline {
    handle: Mutex<Option<ServerHandle>>,
    process: bool,
}

impl Lifeline {
    /// A lifeline whose crash ends the whole process.
    pub fn of_process() -> Arc<Self> {
        Arc::new(Self { handle: Mutex::default(), process: true })
    }

    /// Crashes: every connection breaks without an answer.
    pub fn crash(&self) {
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
    /// Where it answers, also after a restart.
    pub address: SocketAddr,
    /// Its fault switches.
    pub faults: Arc<Faults>,
    /// Its calls.
    pub counters: Arc<Counters>,
    lifeline: Arc<Lifeline>,
    service: Arc<dyn Service>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Handle {
    /// Starts a stand-in that listens at `listen`; port zero picks a free one.
    pub fn start<S>(listen: SocketAddr, service: S, lifeline: Arc<Lifeline>) -> io::Result<Self>
    where
        S: Service + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        let mut running = Self {
            address: listener.local_addr()?,
            faults: Arc::default(),
            counters: Arc::default(),
            lifeline,
            service: Arc::new(service),
            thread: None,
        };
        running.serve(listener)?;
        Ok(running)
    }

    /// Base of its URLs.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets fault switches.
    pub fn set_faults(&self, change: Change) {
        self.faults.apply(&change);
    }

    /// Crashes: every connection breaks; nothing listens until `restart`.
    pub fn crash(&mut self) {
        self.lifeline.crash();
        self.wait();
    }

    /// Starts again at the same address, after a crash or a stop.
    pub fn restart(&mut self) -> io::Result<()> {
        self.crash();
        self.service.restart();
        self.serve(TcpListener::bind(self.address)?)
    }

    /// Waits until it has ended, for programs that do nothing else.
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
                        .wrap(from_fn(fail))
                        .route("/standin/faults", web::post().to(change))
                        .route("/standin/counters", web::get().to(count))
                        .configure(|config| service.configure(config))
                })
                .workers(1)
                .disable_signals()
                .shutdown_timeout(0)
                .client_request_timeout(Duration::ZERO)
                .on_connect(keep_socket)
                .listen(listener)?
                .run();
                let _ = sender.send(server.handle());
                server.await
            })
        })?;
        *self.lifeline.handle.lock() = receiver.recv().ok();
        self.thread = Some(thread);
        Ok(())
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        if let Some(handle) = self.lifeline.handle.lock().take() {
            drop(handle.stop(false));
        }
        self.wait();
    }
}

/// Largest body that a stand-in reads, in bytes.
const BODY_LIMIT: usize = 64 << 20;

/// A second handle on a connection, to see it end and to break it.
#[derive(Clone)]
struct Socket(Arc<TcpStream>);

impl Socket {
    fn shut(&self) {
        let _ = self.0.shutdown(std::net::Shutdown::Both);
    }
}

fn keep_socket(connection: &dyn Any, data: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<actix_rt::net::TcpStream>() else { return };
    let _ = stream.set_nodelay(true);
    if let Ok(handle) = stream.as_fd().try_clone_to_owned() {
        data.insert(Socket(Arc::new(TcpStream::from(handle))));
    }
}

/// Whether the caller has closed its connection.
pub fn hung_up(request: &HttpRequest) -> bool {
    let Some(socket) = request.conn_data::<Socket>() else { return false };
    match socket.0.peek(&mut [0]) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Breaks the caller's connection without an answer.
pub fn break_connection(request: &HttpRequest) {
    if let Some(socket) = request.conn_data::<Socket>() {
        socket.shut();
    }
}

async fn fail<B>(call: ServiceRequest, next: Next<B>) -> Result<ServiceResponse<BoxBody>, Error>
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
    faults.thawed().await;
    actix_rt::time::sleep(faults.delay()).await;
    let socket = call.request().conn_data::<Socket>().cloned();
    if faults.outage() {
        socket.iter().for_each(Socket::shut);
        return Ok(call.into_response(HttpResponse::ServiceUnavailable().finish()));
    }
    let lost = service.loses(&path) && faults.lose_reply();
    let response = next.call(call).await?.map_into_boxed_body();
    if lost {
        socket.iter().for_each(Socket::shut);
    }
    actix_rt::time::sleep(faults.delay() + faults.late()).await;
    faults.thawed().await;
    Ok(response)
}

async fn change(faults: Data<Faults>, change: web::Json<Change>) -> HttpResponse {
    faults.apply(&change);
    HttpResponse::NoContent().finish()
}

async fn count(counters: Data<Counters>) -> web::Json<BTreeMap<String, u64>> {
    web::Json(counters.all())
}

/// Wraps a body as JSON text without further ado.
pub fn json_line<T>(value: &T) -> bytes::Bytes
where
    T: serde::Serialize,
{
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

/// Address of an ephemeral loopback port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Reads a header as text.
pub fn header(request: &HttpRequest, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(str::to_owned)
}
