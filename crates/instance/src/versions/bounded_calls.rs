//! Calls to the store for which a request waits no longer than it may.

use crossbeam::channel::bounded;
use passway_serving::ports::SharedStore;
use passway_types::prelude::*;

/// Makes a call to the store in a thread of its own; `None` if it has not ended by `until`. The call
/// itself ends by the timeouts of the store's client.
pub(super) fn call_until<T: Send + 'static>(
    store: &Arc<dyn SharedStore>,
    until: Instant,
    call: impl FnOnce(&dyn SharedStore) -> T + Send + 'static,
) -> Option<T> {
    let store = store.clone();
    let (sender, receiver) = bounded(1);
    std::thread::spawn(move || {
        // The caller may have stopped waiting.
        let _ = sender.send(call(&*store));
    });
    let timeout = until.saturating_duration_since(passway_types::clock::now());
    receiver.recv_timeout(timeout).ok()
}
