//! A loopback TCP proxy that can delay, stall, refuse or close connections.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;

/// Delay of each read while the mode is `Slow`.
const SLOW_DELAY: Duration = Duration::from_millis(150);
/// Interval at which stalled data checks whether it may be forwarded.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Treatment of all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all data.
    #[default]
    Pass,
    /// Delays all data.
    Slow,
    /// Holds back all data and keeps connections open.
    Stall,
    /// Forwards requests and holds back responses.
    StallResponses,
    /// Closes new connections at once.
    Refuse,
}

#[derive(Default)]
struct State {
    mode: Mode,
    connections: Vec<TcpStream>,
}

/// A proxy for one target address. It listens until the process ends.
#[derive(Clone)]
pub struct Proxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts a proxy for `target`.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let state = Arc::<Mutex<State>>::default();
        let proxy = Self { address: listener.local_addr()?, state };
        let acceptor = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = acceptor.clone();
                // If the target is unreachable, the client sees a closed connection.
                thread::spawn(move || drop(proxy.forward(client, target)));
            }
        });
        Ok(proxy)
    }

    /// Sets the mode of all connections, open ones included.
    pub fn set(&self, mode: Mode) {
        self.state.lock().mode = mode;
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        for stream in self.state.lock().connections.drain(..) {
            // The connection may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn forward(&self, client: TcpStream, target: SocketAddr) -> io::Result<()> {
        if self.state.lock().mode == Mode::Refuse {
            return Ok(());
        }
        let target = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        self.state.lock().connections.extend([client.try_clone()?, target.try_clone()?]);
        let (response_source, response_sink) = (target.try_clone()?, client.try_clone()?);
        let proxy = self.clone();
        thread::spawn(move || proxy.copy(response_source, response_sink, true));
        self.copy(client, target, false);
        Ok(())
    }

    /// Copies data in one direction until either end closes.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, responses: bool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(length) = from.read(&mut buffer) {
            self.wait_while_stalled(responses);
            if length == 0 || to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        // Either end may be closed already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Delays or holds back data as the mode demands.
    fn wait_while_stalled(&self, responses: bool) {
        let mode = || self.state.lock().mode;
        if mode() == Mode::Slow {
            thread::sleep(SLOW_DELAY);
        }
        let stalled = |mode| mode == Mode::Stall || (responses && mode == Mode::StallResponses);
        while stalled(mode()) {
            thread::sleep(STALL_POLL_INTERVAL);
        }
    }
}
