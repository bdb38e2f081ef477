//! What instances tell each other of crashes under parts of prompts, encoded as on the wire.

use passway_instance::poison::PoisonTracker;
use passway_serving::poison::{PartId, RequestDigest, RunPermission, SuspectKey, UpstreamStart};
use passway_types::clock;
use passway_types::prelude::*;

const SHARED: SuspectKey = SuspectKey::Part(PartId(1));
/// Number of times that two instances tell each other all they know.
const EXCHANGES: usize = 20;
/// Time from the requests' begin to the first crash, and between two crashes.
const GAP: Duration = Duration::from_millis(70);

/// An upstream crashes under a request with the shared part that was sent at `sent_at`.
fn crash(instance: &PoisonTracker, number: u8, sent_at: Instant) {
    let start = UpstreamStart {
        upstream: format!("i-{number}").into(),
        started_at_ms: 1,
    };
    let request = RequestDigest([number; 16]).into();
    instance.record_crash(&[request, SHARED], &start, sent_at);
}

/// Guards against crashes of one moment that seem further apart each time instances tell each other of
/// them: sound requests were refused for the part that they share.
#[test]
fn one_moment_stays_one() {
    let instances = [PoisonTracker::default(), PoisonTracker::default()];
    // However long the test takes, all were sent before the first crash.
    let sent_at = clock::now();
    for number in 0..3 {
        std::thread::sleep(GAP);
        crash(&instances[usize::from(number % 2)], number, sent_at);
        for _ in 0..EXCHANGES {
            instances[1].merge_from_peer(instances[0].suspects());
            instances[0].merge_from_peer(instances[1].suspects());
        }
    }
    for instance in &instances {
        let decision = instance.run_decision(&[SHARED]);
        assert_eq!(decision.refused_for, None);
        assert_eq!(decision.permission, RunPermission::Free);
        assert_eq!(instance.blamed_part_count(), 0);
    }
}
