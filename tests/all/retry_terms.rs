//! Repeats while the right to order is lost and taken again all the time.

use crate::site::{self, PATIENCE};
use passway_serving::retry::InstanceCount;
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::prelude::*;

/// Longer than the lease of the tests' instances, and short of what a term needs to know how many instances there are.
const HALF: Duration = Duration::from_millis(1_300);

/// Has the store refuse all calls, or answer them again.
fn refuse(store: &MetadataStandIn, refuses: bool) {
    store.set_faults(Faults {
        refuses: refuses.then_some(503),
        ..Faults::default()
    });
}

/// No request was repeated for as long as terms were shorter than three seconds: each counted the instances from the
/// beginning, and none ever said how many share the allowance.
#[test]
fn short_terms_count_together() {
    let store = site::store(&["m0"]);
    let instance = site::ready("one", &store);
    let limit_at = Instant::now() + PATIENCE;
    for refuses in [true, false].into_iter().cycle() {
        refuse(&store, refuses);
        let until = Instant::now() + HALF;
        while Instant::now() < until {
            if instance.may_repeat("engines") {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(Instant::now() < limit_at, "no repeat to spend");
    }
}

/// Whoever shares with those that have not come back yet must not be told that it shares with few.
#[test]
fn most_count_until_back() {
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
