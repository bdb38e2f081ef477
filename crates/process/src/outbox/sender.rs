//! The thread that sends what sockets did not take at once, for all outboxes of the process.

use super::{Progress, Shared};
use crossbeam::channel::{Receiver, Sender, unbounded};
use passway_types::clock;
use passway_wire::link::WRITE_TIMEOUT;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Longest wait for a socket to take more, after which outboxes that were added meanwhile are
/// served, too.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two attempts if polling fails.
const POLL_BACKOFF: Duration = Duration::from_millis(10);

/// An outbox with queued frames.
struct Blocked {
    outbox: Arc<Shared>,
    /// When the connection is closed, unless the socket takes something before.
    give_up_at: Instant,
}

impl Blocked {
    fn new(outbox: Arc<Shared>) -> Self {
        Self {
            outbox,
            give_up_at: clock::now() + WRITE_TIMEOUT,
        }
    }

    /// Sends what the socket takes. Returns whether frames are left.
    fn advance(&mut self, now: Instant) -> bool {
        match self.outbox.send_queued() {
            Progress::Ended => false,
            Progress::Some => {
                self.give_up_at = now + WRITE_TIMEOUT;
                true
            }
            Progress::None if now >= self.give_up_at => {
                self.outbox.give_up();
                false
            }
            Progress::None => true,
        }
    }
}

/// Hands an outbox over to the sending thread, until its queue is empty or its connection has
/// failed.
pub(super) fn add(outbox: Arc<Shared>) {
    static SENDER: OnceLock<Sender<Arc<Shared>>> = OnceLock::new();
    let sender = SENDER.get_or_init(|| {
        let (sender, receiver) = unbounded();
        std::thread::spawn(move || run(&receiver));
        sender
    });
    // The receiver ends only with the process.
    let _ = sender.send(outbox);
}

fn run(added: &Receiver<Arc<Shared>>) {
    let mut blocked: Vec<Blocked> = Vec::new();
    loop {
        if blocked.is_empty() {
            let Ok(outbox) = added.recv() else {
                return;
            };
            blocked.push(Blocked::new(outbox));
        }
        blocked.extend(added.try_iter().map(Blocked::new));
        let is_ready = wait_for_sockets(&blocked);
        let now = clock::now();
        let mut is_ready = is_ready.into_iter();
        blocked.retain_mut(|one| {
            let is_due = is_ready.next().unwrap_or(true) || now >= one.give_up_at;
            !is_due || one.advance(now)
        });
    }
}

/// Waits until a socket takes more, at most for [`POLL_INTERVAL`]. Returns for each outbox whether
/// its socket does or has failed.
fn wait_for_sockets(blocked: &[Blocked]) -> Vec<bool> {
    let links = blocked.iter().map(|one| &one.outbox.link);
    let mut polled: Vec<PollFd<'_>> = links
        .map(|link| PollFd::new(link, PollFlags::OUT))
        .collect();
    let timeout = Timespec {
        tv_sec: 0,
        tv_nsec: POLL_INTERVAL.subsec_nanos().into(),
    };
    if let Err(error) = poll(&mut polled, Some(&timeout))
        && error != rustix::io::Errno::INTR
    {
        log::warn!(error:% = error; "cannot poll for sockets that take more");
        std::thread::sleep(POLL_BACKOFF);
    }
    let ready = polled.iter().map(|fd| !fd.revents().is_empty());
    ready.collect()
}
