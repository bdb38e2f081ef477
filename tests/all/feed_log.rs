//! The log of a feed and the updates made from it.

use crate::scripted_store::at;
use passway_instance::feed_log::FeedLog;
use passway_instance::relay::{CONFIGURATION_FEED, Relay};
use passway_instance::termination::Termination;
use passway_instance::updates::{CompressionBases, FeedUpdate, latest_changes};
use passway_serving::ports::{Listing, StoreChange, StoredValue};
use prost::Message;
use std::time::Duration;

/// Lines of a large value, about 100 kB.
const LINES: u32 = 4_000;

/// A large value that differs slightly at each revision.
fn large(key: &str, revision: u64) -> StoredValue {
    let lines = (0..LINES).map(|line| format!("{:x} {line}\n", line.wrapping_mul(0x9E37_79B9)));
    let text = format!("{revision}\n{}", lines.collect::<String>());
    StoredValue {
        key: key.into(),
        value: text.into(),
        revision: at(revision),
        lease: None,
    }
}

fn written(revision: u64) -> FeedUpdate {
    FeedUpdate::Changes {
        from: at(revision - 1),
        to: at(revision),
        changes: vec![StoreChange::Written(large("a", revision))],
    }
}

fn whole(keys: &[&str], revision: u64, written_at: u64) -> FeedUpdate {
    let values = keys.iter().map(|key| large(key, written_at));
    FeedUpdate::Snapshot(Listing {
        values: values.collect(),
        revision: at(revision),
    })
}

#[test]
fn compressed_against_known_base() {
    let mut log = FeedLog::default();
    let mut bases = CompressionBases::default();
    log.apply(&whole(&["a"], 10, 10));
    let complete = log.update_after(CONFIGURATION_FEED, at(0)).expect("all");
    let complete = bases.decode(complete).expect("readable");
    assert_eq!(complete, whole(&["a"], 10, 10));
    for revision in 11..14 {
        log.apply(&written(revision));
        let update = log
            .update_after(CONFIGURATION_FEED, at(revision - 1))
            .expect("an update");
        let bytes = update.encoded_len();
        assert!(bytes < 1_000, "{bytes} bytes for a small difference");
        assert_eq!(bases.decode(update).expect("readable"), written(revision));
    }
}

#[test]
fn unknown_base_refused() {
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    log.apply(&written(11));
    let update = log
        .update_after(CONFIGURATION_FEED, at(10))
        .expect("an update");
    // The receiver knows another value of the key than the base.
    let mut bases = CompressionBases::default();
    bases.record(&whole(&["a"], 9, 9));
    assert!(bases.decode(update).is_err());
    // A receiver that missed a version gets the newest one without a base.
    let update = log
        .update_after(CONFIGURATION_FEED, at(9))
        .expect("an update");
    let decoded = bases.decode(update).expect("readable");
    assert_eq!(decoded, whole(&["a"], 11, 11));
}

#[test]
fn newest_only() {
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    let mut waiting = written(11);
    log.apply(&waiting);
    for revision in 12..500 {
        log.apply(&written(revision));
        waiting = waiting.merged_with(written(revision));
    }
    let update = log
        .update_after(CONFIGURATION_FEED, at(10))
        .expect("an update");
    assert_eq!(
        (
            update.from_revision,
            update.to_revision,
            update.values.len()
        ),
        (10, 499, 1)
    );
    let newest = StoreChange::Written(large("a", 499));
    let expected = FeedUpdate::Changes {
        from: at(10),
        to: at(499),
        changes: vec![newest],
    };
    assert_eq!(waiting, expected);
}

#[test]
fn gap_is_kept() {
    let waiting = written(11).merged_with(written(20));
    assert_eq!(waiting, written(20));
    let listed = whole(&["a"], 10, 10).merged_with(written(11));
    assert_eq!(listed, whole(&["a"], 11, 11));
}

#[test]
fn listing_sends_differences() {
    let mut log = FeedLog::default();
    log.apply(&whole(&["a", "b"], 10, 10));
    // The store dropped its history, so the feed was listed again.
    assert!(log.apply(&whole(&["a"], 30, 10)));
    let update = log
        .update_after(CONFIGURATION_FEED, at(10))
        .expect("an update");
    let values: Vec<_> = update
        .values
        .iter()
        .map(|value| (&*value.key, &value.value))
        .collect();
    assert_eq!(values, [("b", &None)]);
    assert!(!log.apply(&whole(&["a"], 40, 10)));
}

/// A subscriber reads a version from the store itself, and the holder sends the same version.
#[test]
fn value_read_from_store_is_no_gap() {
    let (relay, [receiver, _]) = Relay::new();
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    receiver.record_applied(&whole(&["a"], 10, 10), at(10));
    receiver.record_applied(&written(11), at(11));
    log.apply(&written(11));
    relay.receive(
        log.update_after(CONFIGURATION_FEED, at(10))
            .expect("an update"),
    );
    assert!(!relay.needs_resend(), "the whole feed is requested again");
}

/// The same, but the holder missed that version.
#[test]
fn skipped_version_is_readable() {
    let (relay, [receiver, _]) = Relay::new();
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    receiver.record_applied(&whole(&["a"], 10, 10), at(10));
    receiver.record_applied(&written(11), at(11));
    log.apply(&whole(&["a"], 12, 12));
    relay.receive(
        log.update_after(CONFIGURATION_FEED, at(10))
            .expect("an update"),
    );
    let termination = Termination::new().expect("a termination");
    let decoded = receiver.wait_for_update(Duration::ZERO, &termination);
    assert!(
        decoded.is_some_and(|update| update.to() == at(12)),
        "version 12 is lost"
    );
}

/// An unreadable update is requested again until the holder or the store has supplied it.
#[test]
fn unreadable_until_known() {
    let (relay, [receiver, _]) = Relay::new();
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    log.apply(&written(11));
    receiver.record_applied(&whole(&["a"], 9, 9), at(9));
    let unreadable = log
        .update_after(CONFIGURATION_FEED, at(10))
        .expect("an update");
    relay.receive(unreadable);
    assert!(relay.needs_resend());
    assert!(relay.known_revisions()[CONFIGURATION_FEED].is_none());
    receiver.record_applied(&written(11), at(11));
    assert!(!relay.needs_resend());
    assert_eq!(relay.known_revisions()[CONFIGURATION_FEED], at(11));
}

/// A key is written and removed within one answer to the holder, and a subscriber has read it from
/// the store in between.
#[test]
fn short_lived_key_removal_sent() {
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    let short_lived = StoreChange::Written(large("b", 12));
    let removed = StoreChange::Removed {
        key: "b".into(),
        revision: at(18),
    };
    log.apply(&FeedUpdate::Changes {
        from: at(10),
        to: at(20),
        changes: latest_changes([short_lived, removed].into_iter()),
    });
    let update = log
        .update_after(CONFIGURATION_FEED, at(15))
        .expect("an update");
    let keys: Vec<_> = update.values.iter().map(|value| &*value.key).collect();
    assert_eq!(keys, ["b"], "complete up to {}", update.to_revision);
}

/// The holder does not know what was written and removed between two listings.
#[test]
fn unseen_span_sent_whole() {
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    log.apply(&whole(&["a"], 30, 10));
    let start_of_update = |known| {
        log.update_after(CONFIGURATION_FEED, at(known))
            .map(|update| update.from_revision)
    };
    assert_eq!(start_of_update(10), Some(10));
    assert_eq!(start_of_update(20), Some(0));
    assert_eq!(start_of_update(30), None);
}

#[test]
fn older_update_restores_nothing() {
    let complete = whole(&[], 50, 50);
    assert_eq!(complete.clone().merged_with(written(14)), complete);
    assert_eq!(
        complete.clone().merged_with(whole(&["a"], 14, 14)),
        complete
    );
}

#[test]
fn many_removals_forgotten() {
    let mut log = FeedLog::default();
    log.apply(&whole(&[], 10, 10));
    for revision in (11..3_011).step_by(2) {
        let value = StoredValue {
            key: format!("k{revision}"),
            value: "v".into(),
            revision: at(revision),
            lease: None,
        };
        let removed = StoreChange::Removed {
            key: value.key.clone(),
            revision: at(revision + 1),
        };
        log.apply(&FeedUpdate::Changes {
            from: at(revision - 1),
            to: at(revision + 1),
            changes: vec![StoreChange::Written(value), removed],
        });
    }
    // A receiver whose known revision is too old gets everything.
    let update = log
        .update_after(CONFIGURATION_FEED, at(10))
        .expect("an update");
    assert_eq!((update.from_revision, update.values.len()), (0, 0));
    let update = log
        .update_after(CONFIGURATION_FEED, at(3_000))
        .expect("an update");
    assert_eq!((update.from_revision, update.values.len()), (3_000, 5));
}
