//! The network path to one server: a TCP proxy that can hold all bytes back, as a cut does whose
//! packets are sent again once it has healed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Path {
    pub address: SocketAddr,
    target: SocketAddr,
    is_cut: AtomicBool,
    is_resetting: AtomicBool,
    /// Both ends of the connections since the last reset.
    open: Mutex<Vec<TcpStream>>,
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let length = u32::try_from(size_of::<Linger>()).expect("a small size");
    // SAFETY: the socket is open, and the value is a `struct linger` of this length.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            &raw const linger,
            length,
        );
    }
}

impl Path {
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("binding a proxy");
        let path = Arc::new(Self {
            address: listener.local_addr().expect("reading a bound address"),
            target,
            is_cut: AtomicBool::new(false),
            is_resetting: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let accepting = path.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let path = accepting.clone();
                std::thread::spawn(move || path.connect(stream));
            }
        });
        path
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Release);
    }

    /// Begins or ends a cut that resets open and new connections.
    pub fn set_resetting(&self, is_resetting: bool) {
        self.is_resetting.store(is_resetting, Ordering::Release);
        for stream in self.open.lock().expect("locking a proxy").drain(..) {
            reset(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn wait_while_cut(&self) {
        while self.is_cut.load(Ordering::Acquire) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn connect(self: &Arc<Self>, caller: TcpStream) {
        self.wait_while_cut();
        if self.is_resetting.load(Ordering::Acquire) {
            reset(&caller);
            return;
        }
        let Ok(server) = TcpStream::connect(self.target) else {
            // A dead port resets.
            reset(&caller);
            return;
        };
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let (Ok(caller_end), Ok(server_end)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        if let (Ok(caller), Ok(server)) = (caller.try_clone(), server.try_clone()) {
            self.open
                .lock()
                .expect("locking a proxy")
                .extend([caller, server]);
        }
        let path = self.clone();
        std::thread::spawn(move || path.forward(caller_end, server_end));
        self.forward(server, caller);
    }

    /// Forwards one direction. An orderly end is passed on as such, and a reset as a reset.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; 16 << 10];
        loop {
            let count = from.read(&mut chunk);
            self.wait_while_cut();
            match count {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) if to.write_all(&chunk[..count]).is_ok() => {}
                _ => {
                    for stream in [&from, &to] {
                        reset(stream);
                        let _ = stream.shutdown(Shutdown::Both);
                    }
                    return;
                }
            }
        }
    }
}
