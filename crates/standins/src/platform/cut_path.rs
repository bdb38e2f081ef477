//! The network path from one instance to one upstream, which can be cut in several ways while the
//! upstream serves everybody else.

use super::process::free_address;
use passway_types::prelude::*;
use rustix::buffer::spare_capacity;
use rustix::event::epoll;
use rustix::io::Errno;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Backlog of an open path.
const OPEN_BACKLOG: i32 = 128;
/// Connections that fill the backlog of a path that hangs.
const FILLING_CONNECTIONS: usize = 4;

/// The state of a path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PathState {
    /// Connections work.
    #[default]
    Open,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refusing,
    /// Nothing passes: open connections fall silent, and attempts to connect get no answer.
    Hanging,
}

#[derive(Debug)]
struct State {
    path: PathState,
    /// The sockets of the open connections: from the instance and to the upstream.
    open: Vec<[TcpStream; 2]>,
    listener: Option<TcpListener>,
    /// Whether the accepting thread waits for connections to the listener.
    is_watched: bool,
    /// Connections that fill the backlog while the path hangs.
    filling: Vec<TcpStream>,
    /// Number of connections that were forwarded.
    connections: u64,
}

impl State {
    /// Closes the port, which also ends the wait for connections to the port.
    fn close_port(&mut self) {
        self.listener = None;
        self.is_watched = false;
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    has_changed: Condvar,
    /// What the accepting thread waits for: the listener while the path is open. Unlike a second handle
    /// of the listener, it does not keep the port open.
    acceptable: OwnedFd,
}

/// A path; clones share the same state.
///
/// The path's thread lives as long as the process, as an instance that uses the path does. It takes no
/// processor time while nothing connects.
#[derive(Debug, Clone)]
pub struct CutPath {
    /// The address that the instance connects to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl CutPath {
    /// Opens a path to `target`.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn open(target: SocketAddr) -> Self {
        let state = State {
            path: PathState::Reset,
            open: Vec::new(),
            listener: None,
            is_watched: false,
            filling: Vec::new(),
            connections: 0,
        };
        let acceptable = epoll::create(epoll::CreateFlags::CLOEXEC);
        let path = Self {
            address: free_address(),
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                has_changed: Condvar::new(),
                acceptable: acceptable.expect("creating a path"),
            }),
        };
        path.set(PathState::Open);
        let accepting = path.clone();
        std::thread::spawn(move || {
            loop {
                accepting.wait_for_connection();
                if let Some(caller) = accepting.accept() {
                    accepting.connect(&caller, target);
                }
            }
        });
        path
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of connections that reached the upstream over this path.
    pub fn connections(&self) -> u64 {
        self.state().connections
    }

    /// Changes the state of the path.
    ///
    /// # Panics
    /// If the path's port cannot be bound again.
    pub fn set(&self, path: PathState) {
        let mut state = self.state();
        state.path = path;
        state.filling.clear();
        match path {
            PathState::Open => {
                let listener = state.listener.take();
                let listener = listener.unwrap_or_else(|| bind(self.address));
                set_backlog(&listener, OPEN_BACKLOG);
                state.listener = Some(listener);
                self.watch(&mut state);
            }
            PathState::Reset => {
                state.close_port();
                for socket in state.open.drain(..).flatten() {
                    reset(&socket);
                }
            }
            PathState::Refusing => state.close_port(),
            PathState::Hanging => {
                self.unwatch(&mut state);
                if let Some(listener) = &state.listener {
                    set_backlog(listener, 0);
                }
                state.filling = fill_backlog(self.address);
            }
        }
        self.shared.has_changed.notify_all();
    }

    /// Wakes the accepting thread when something connects to the listener.
    fn watch(&self, state: &mut State) {
        if state.is_watched {
            return;
        }
        let Some(listener) = &state.listener else {
            return;
        };
        let data = epoll::EventData::new_u64(0);
        let watched = epoll::add(
            &self.shared.acceptable,
            listener,
            data,
            epoll::EventFlags::IN,
        );
        watched.expect("waiting for connections of a path");
        state.is_watched = true;
    }

    /// Leaves connections to the listener unnoticed.
    fn unwatch(&self, state: &mut State) {
        if let Some(listener) = state.listener.as_ref().filter(|_| state.is_watched) {
            let unwatched = epoll::delete(&self.shared.acceptable, listener);
            unwatched.expect("ignoring connections of a path");
        }
        state.is_watched = false;
    }

    fn wait_for_connection(&self) {
        let mut events = Vec::with_capacity(1);
        let waited = epoll::wait(&self.shared.acceptable, spare_capacity(&mut events), None);
        assert!(
            matches!(waited, Ok(_) | Err(Errno::INTR)),
            "waiting for a path: {waited:?}"
        );
    }

    /// Accepts a connection, unless the path is cut.
    fn accept(&self) -> Option<TcpStream> {
        let state = self.state();
        let listener = state.listener.as_ref()?;
        if state.path != PathState::Open {
            return None;
        }
        listener.accept().ok().map(|(stream, _)| stream)
    }

    fn connect(&self, caller: &TcpStream, target: SocketAddr) {
        // If the target refuses the connection, the instance's connection is closed.
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(caller_end), Ok(server_end)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        // Small messages are sent without delay, as without a path between.
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let _ = caller.set_nonblocking(false);
        let mut state = self.state();
        if state.path == PathState::Reset {
            // The path was cut after the connection was accepted.
            reset(&caller_end);
            reset(&server_end);
            return;
        }
        state.connections += 1;
        state.open.push([caller_end, server_end]);
        drop(state);
        self.forward([caller, &server]);
        self.forward([&server, caller]);
    }

    /// Forwards one direction until either end closes the connection. A path that hangs holds the
    /// data back.
    fn forward(&self, [from, to]: [&TcpStream; 2]) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let path = self.clone();
        std::thread::spawn(move || {
            let mut chunk = [0; CHUNK_BYTES];
            while let Ok(count @ 1..) = from.read(&mut chunk) {
                path.wait_while_hanging();
                if to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
            path.wait_while_hanging();
            // Fails if the socket is already closed, which is fine.
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
        });
    }

    fn wait_while_hanging(&self) {
        let state = self.state();
        let is_hanging = |state: &mut State| state.path == PathState::Hanging;
        drop(self.shared.has_changed.wait_while(state, is_hanging));
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address).expect("binding a path");
    listener
        .set_nonblocking(true)
        .expect("setting a path to non-blocking");
    listener
}

fn set_backlog(listener: &TcpListener, backlog: i32) {
    rustix::net::listen(listener, backlog).expect("changing a backlog");
}

/// Connects until the backlog is full; from then on attempts to connect get no answer.
fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(20)).ok();
    (0..FILLING_CONNECTIONS).filter_map(connect).collect()
}

/// Closes a connection with a reset.
fn reset(socket: &TcpStream) {
    // Fails if the socket is already closed, which is fine.
    let _ = rustix::net::sockopt::set_socket_linger(socket, Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}
