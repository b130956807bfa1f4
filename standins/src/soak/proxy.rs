//! A loopback proxy that harms the connections that pass through it.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;

/// Delay of each piece while the proxy is slow.
const SLOW: Duration = Duration::from_millis(150);
/// How often a piece that is held looks whether it may pass.
const HOLD_POLL: Duration = Duration::from_millis(5);
/// Bound on connecting to the far end.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest piece that is passed on at once, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Everything passes.
    #[default]
    Pass,
    /// Every piece is late.
    Slow,
    /// Nothing passes, and no connection ends.
    Silent,
    /// Calls pass, answers don't.
    OneWay,
    /// New connections are closed at once.
    Refuse,
}

#[derive(Default)]
struct State {
    mode: Mode,
    open: Vec<TcpStream>,
}

/// A proxy before one address. It listens until the process ends.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts a proxy before `far`.
    pub fn start(far: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let state = Arc::<Mutex<State>>::default();
        let proxy = Self { address: listener.local_addr()?, state };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let proxy = accepting.clone();
                // An end that can't be reached shows as a closed connection.
                thread::spawn(move || drop(proxy.join(near, far)));
            }
        });
        Ok(proxy)
    }

    /// Changes what happens to all connections from now on.
    pub fn set(&self, mode: Mode) {
        self.state.lock().mode = mode;
    }

    /// Ends all open connections.
    pub fn reset(&self) {
        for stream in self.state.lock().open.drain(..) {
            // It may have ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn join(&self, near: TcpStream, far: SocketAddr) -> io::Result<()> {
        if self.state.lock().mode == Mode::Refuse {
            return Ok(());
        }
        let far = TcpStream::connect_timeout(&far, CONNECT_TIMEOUT)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        self.state.lock().open.extend([near.try_clone()?, far.try_clone()?]);
        let (answers_from, answers_to) = (far.try_clone()?, near.try_clone()?);
        let proxy = self.clone();
        thread::spawn(move || proxy.pump(answers_from, answers_to, true));
        self.pump(near, far, false);
        Ok(())
    }

    /// Passes bytes on until either end closes.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, answers: bool) {
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(length) = from.read(&mut piece) {
            self.hold(answers);
            if length == 0 || to.write_all(&piece[..length]).is_err() {
                break;
            }
        }
        // Either end may have gone first.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Waits until a piece may pass.
    fn hold(&self, answers: bool) {
        let mode = || self.state.lock().mode;
        if mode() == Mode::Slow {
            thread::sleep(SLOW);
        }
        let held = |mode| mode == Mode::Silent || (answers && mode == Mode::OneWay);
        while held(mode()) {
            thread::sleep(HOLD_POLL);
        }
    }
}
