//! Reading of a queue to which other threads add all the time.

use crossbeam::channel::Receiver;

/// Returns the messages that wait in the queue now, without those that are added meanwhile.
///
/// A loop over all messages would not end while others are added as fast as they are handled, and
/// what its thread does periodically would never be due.
pub fn waiting<T>(receiver: &Receiver<T>) -> impl Iterator<Item = T> {
    receiver.try_iter().take(receiver.len())
}
