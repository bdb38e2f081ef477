//! The retry budget while the leadership is lost and gained again all the time.

use crate::cluster::{self, RECEIVE_TIMEOUT};
use passway_serving::retry::InstanceCount;
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::prelude::*;

/// Longer than the lease of the tests' instances, and shorter than a term needs to learn the number
/// of instances.
const HALF_PERIOD: Duration = Duration::from_millis(1_300);

/// Makes the store refuse all calls, or answer them again.
fn set_store_refusing(store: &MetadataStandIn, refuses: bool) {
    store.set_faults(Faults {
        error_status: refuses.then_some(503),
        ..Faults::default()
    });
}

/// Guards against a retry budget that stays empty while terms are shorter than three seconds: each
/// term counted the instances from the beginning and never announced how many share the allowance.
#[test]
fn short_terms_count_together() {
    let store = cluster::store(&["m0"]);
    let instance = cluster::start_ready("one", &store);
    let limit_at = Instant::now() + RECEIVE_TIMEOUT;
    for refuses in [true, false].into_iter().cycle() {
        set_store_refusing(&store, refuses);
        let until = Instant::now() + HALF_PERIOD;
        while Instant::now() < until {
            if instance.has_spare_retry("engines") {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(Instant::now() < limit_at, "no retry in the budget");
    }
}

/// While some instances have not reconnected yet, the announced number of instances must not drop.
#[test]
fn previous_count_kept_until_reconnect() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut count = InstanceCount::start_term(now);
    assert_eq!(count.sharing_instances(5, at(1_500)), None);
    count.continue_term(at(2_000));
    assert_eq!(count.sharing_instances(1, at(2_500)), None);
    assert_eq!(count.sharing_instances(1, at(3_500)), Some(5));
    assert_eq!(count.sharing_instances(7, at(4_000)), Some(7));
    assert_eq!(count.sharing_instances(4, at(5_500)), Some(4));
}
