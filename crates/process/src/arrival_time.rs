//! When received bytes had arrived at a socket, by the kernel's timestamps.
//!
//! A process with little processor time reads requests late. Their deadlines count from their arrival all the same.

use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// An age beyond this is ignored: the time of day was probably set after the bytes had arrived.
const MAX_AGE: Duration = Duration::from_secs(20);

/// Enables the kernel's arrival times for a socket; for a listener, also for the connections that it accepts.
/// Returns whether the kernel supports them.
pub fn enable(socket: &impl AsFd) -> bool {
    setsockopt(socket, sockopt::ReceiveTimestampns, &true).is_ok()
}

/// Reads from a socket whose arrival times are enabled. Returns the number of bytes, and how long ago the last of them had
/// arrived; zero if that is not known.
///
/// # Errors
/// The socket's error.
pub fn read(socket: &impl AsRawFd, buffer: &mut [u8]) -> io::Result<(usize, Duration)> {
    let mut space = nix::cmsg_space!(TimeSpec);
    let mut slices = [IoSliceMut::new(buffer)];
    let received = recvmsg::<()>(
        socket.as_raw_fd(),
        &mut slices,
        Some(&mut space),
        MsgFlags::empty(),
    )?;
    let mut messages = received.cmsgs().into_iter().flatten();
    let arrived = messages.find_map(|message| match message {
        ControlMessageOwned::ScmTimestampns(time) => Some(Duration::from(time)),
        _ => None,
    });
    let age = arrived.and_then(age_of).unwrap_or_default();
    Ok((received.bytes, age))
}

/// The age of a time of day, in time since 1970; `None` if it cannot be.
fn age_of(arrived: Duration) -> Option<Duration> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let age = now.checked_sub(arrived)?;
    (age <= MAX_AGE).then_some(age)
}
