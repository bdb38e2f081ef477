//! A way whose connections can be delayed, reset and silenced.

use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Bytes that go on at one time.
const CHUNK_BYTES: usize = 16 << 10;

/// What happens to what goes this way from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyFaults {
    /// Each chunk waits for so long.
    pub delay: Duration,
    /// What callers send is lost, and their connections stay open and silent for good.
    pub drops_requests: bool,
    /// The same of what comes back.
    pub drops_answers: bool,
    /// New connections are closed at once.
    pub refuses_connections: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: ProxyFaults,
    /// Both ends of each connection, by how many came before.
    open: BTreeMap<u64, [TcpStream; 2]>,
    connections: u64,
    /// Whether the other end has crashed, so that nobody listens here any more.
    is_closed: bool,
}

/// The way; clones are the same one.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    target: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// A way to an address, on a port that the kernel chooses.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("binding a way");
        let proxy = Self {
            address: listener.local_addr().expect("a way's address"),
            target,
            state: Arc::default(),
        };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.state().is_closed {
                    break;
                }
                accepting.connect(&stream);
            }
        });
        proxy
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What happens from now on; connections that have gone silent stay so.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.state().faults = faults;
    }

    /// Cuts all connections.
    pub fn reset_connections(&self) {
        for ends in std::mem::take(&mut self.state().open).values() {
            close(ends);
        }
    }

    /// Closes the port if nobody listens at the other end any more: whoever tries it again finds
    /// what a crash leaves.
    fn close_with_target(&self) {
        if TcpStream::connect(self.target).is_ok() {
            return;
        }
        self.state().is_closed = true;
        while TcpStream::connect(self.address).is_ok() {
            // The one that woke the thread that accepts; the next is refused.
            std::thread::yield_now();
        }
    }

    fn connect(&self, caller: &TcpStream) {
        if self.state().faults.refuses_connections {
            return;
        }
        // A port that nobody listens at any more is told by the caller's connection that ends.
        let Ok(server) = TcpStream::connect(self.target) else {
            return;
        };
        let (Ok(caller_end), Ok(server_end)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        // Small messages go at once, as without a way between.
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let mut state = self.state();
        state.connections += 1;
        let number = state.connections;
        state.open.insert(number, [caller_end, server_end]);
        drop(state);
        self.copy(
            number,
            [caller, &server],
            |faults| faults.drops_requests,
            false,
        );
        self.copy(
            number,
            [&server, caller],
            |faults| faults.drops_answers,
            true,
        );
    }

    /// Passes on what one end sends until either closes.
    fn copy(
        &self,
        number: u64,
        [from, to]: [&TcpStream; 2],
        loses: fn(&ProxyFaults) -> bool,
        is_answers: bool,
    ) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let proxy = self.clone();
        std::thread::spawn(move || {
            let mut chunk = [0; CHUNK_BYTES];
            let mut is_silent = false;
            while let Ok(count @ 1..) = from.read(&mut chunk) {
                let faults = proxy.state().faults;
                std::thread::sleep(faults.delay);
                is_silent |= loses(&faults);
                if !is_silent && to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
            if is_answers {
                proxy.close_with_target();
            }
            close(&[from, to]);
            proxy.state().open.remove(&number);
        });
    }
}

fn close(ends: &[TcpStream; 2]) {
    for end in ends {
        // One that is closed already needs no closing.
        let _ = end.shutdown(Shutdown::Both);
    }
}
