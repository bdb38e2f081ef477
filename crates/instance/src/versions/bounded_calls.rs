//! Calls to the store for which a request waits no longer than it may.

use crossbeam::channel::{RecvTimeoutError, bounded};
use passway_serving::ports::SharedStore;
use passway_types::clock;
use passway_types::prelude::*;

/// A call is repeated beside one that has had no answer for this long: the store answers in 4 ms, and in
/// 0.2 s on its worst days.
const CALL_OVERDUE: Duration = Duration::from_millis(200);
/// Maximum number of calls for one result.
const MAX_CALLS: usize = 3;

/// Makes a call to the store that may be repeated, each time in a thread of its own, and returns the first
/// result; `None` if there is none by `until`. The calls themselves end by the timeouts of the store's
/// client.
pub(super) fn call_until<T: Send + 'static>(
    store: &Arc<dyn SharedStore>,
    until: Instant,
    call: impl Fn(&dyn SharedStore) -> T + Send + Clone + 'static,
) -> Option<T> {
    let (sender, receiver) = bounded(MAX_CALLS);
    for number in 1..=MAX_CALLS {
        let (store, sender, call) = (store.clone(), sender.clone(), call.clone());
        let call_once = move || {
            // The caller may have stopped waiting.
            let _ = sender.send(call(&*store));
        };
        if let Err(error) = std::thread::Builder::new().spawn(call_once) {
            log::warn!(error:% = error; "cannot start a thread for a call to the store");
        }
        let next_at = if number < MAX_CALLS {
            until.min(clock::now() + CALL_OVERDUE)
        } else {
            until
        };
        match receiver.recv_deadline(next_at) {
            Ok(result) => return Some(result),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
        if clock::now() >= until {
            return None;
        }
    }
    None
}
