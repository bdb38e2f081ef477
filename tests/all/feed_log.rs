//! What an instance keeps of a feed to tell others, and how it travels.

use passway_instance::feed_log::FeedLog;
use passway_instance::relay::{CONFIGURATION_FEED, Relay};
use passway_instance::updates::{CompressionBases, FeedUpdate, latest_changes};
use passway_serving::ports::{Listing, StoreChange, StoreRevision, StoredValue};
use prost::Message;
use std::time::Duration;

/// Lines of a large value; some 100 kB.
const LINES: u32 = 4_000;

/// A large value, a little different at each revision.
fn large(key: &str, revision: StoreRevision) -> StoredValue {
    let lines = (0..LINES).map(|line| format!("{:x} {line}\n", line.wrapping_mul(0x9E37_79B9)));
    let text = format!("{revision}\n{}", lines.collect::<String>());
    StoredValue {
        key: key.into(),
        value: text.into(),
        revision,
    }
}

fn written(revision: StoreRevision) -> FeedUpdate {
    FeedUpdate::Changes {
        from: revision - 1,
        to: revision,
        changes: vec![StoreChange::Written(large("a", revision))],
    }
}

fn whole(keys: &[&str], revision: StoreRevision, at: StoreRevision) -> FeedUpdate {
    let values = keys.iter().map(|key| large(key, at));
    FeedUpdate::Snapshot(Listing {
        values: values.collect(),
        revision,
    })
}

#[test]
fn compressed_against_known_base() {
    let mut log = FeedLog::default();
    let mut bases = CompressionBases::default();
    log.apply(&whole(&["a"], 10, 10));
    let all = log.update_after(CONFIGURATION_FEED, 0).expect("all");
    let all = bases.decode(all).expect("readable");
    assert_eq!(all, whole(&["a"], 10, 10));
    for revision in 11..14 {
        log.apply(&written(revision));
        let news = log
            .update_after(CONFIGURATION_FEED, revision - 1)
            .expect("news");
        let bytes = news.encoded_len();
        assert!(bytes < 1_000, "{bytes} bytes for a small difference");
        assert_eq!(bases.decode(news).expect("readable"), written(revision));
    }
}

#[test]
fn unknown_base_refused() {
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    log.apply(&written(11));
    let news = log.update_after(CONFIGURATION_FEED, 10).expect("news");
    // It knows another value of the key than it should.
    let mut bases = CompressionBases::default();
    bases.record(&whole(&["a"], 9, 9));
    assert!(bases.decode(news).is_err());
    // One that has missed a version is told it without the one before.
    let news = log.update_after(CONFIGURATION_FEED, 9).expect("news");
    let told = bases.decode(news).expect("readable");
    assert_eq!(told, whole(&["a"], 11, 11));
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
    let news = log.update_after(CONFIGURATION_FEED, 10).expect("news");
    assert_eq!((news.from, news.to, news.values.len()), (10, 499, 1));
    let newest = StoreChange::Written(large("a", 499));
    let expected = FeedUpdate::Changes {
        from: 10,
        to: 499,
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
    // The store's history was gone, and it was listed again.
    assert!(log.apply(&whole(&["a"], 30, 10)));
    let news = log.update_after(CONFIGURATION_FEED, 10).expect("news");
    let told: Vec<_> = news.values.iter().map(|v| (&*v.key, &v.value)).collect();
    assert_eq!(told, [("b", &None)]);
    assert!(!log.apply(&whole(&["a"], 40, 10)));
}

/// A listener reads a version from the store itself, and the holder tells it the same one.
#[test]
fn value_read_from_store_is_no_gap() {
    let (relay, [receiver, _]) = Relay::new();
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    receiver.record_applied(&whole(&["a"], 10, 10), 10);
    receiver.record_applied(&written(11), 11);
    log.apply(&written(11));
    relay.receive(log.update_after(CONFIGURATION_FEED, 10).expect("news"));
    assert!(!relay.needs_resend(), "all is asked for anew");
}

/// As before, and the holder has missed that version.
#[test]
fn skipped_version_is_readable() {
    let (relay, [receiver, _]) = Relay::new();
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    receiver.record_applied(&whole(&["a"], 10, 10), 10);
    receiver.record_applied(&written(11), 11);
    log.apply(&whole(&["a"], 12, 12));
    relay.receive(log.update_after(CONFIGURATION_FEED, 10).expect("news"));
    let told = receiver.wait_for_update(Duration::ZERO);
    assert!(told.is_some_and(|told| told.to() == 12), "12 is lost");
}

/// What cannot be read is asked for until it is known, from the holder or from the store.
#[test]
fn unreadable_until_known() {
    let (relay, [receiver, _]) = Relay::new();
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    log.apply(&written(11));
    receiver.record_applied(&whole(&["a"], 9, 9), 9);
    let packed = log.update_after(CONFIGURATION_FEED, 10).expect("news");
    relay.receive(packed);
    assert!(relay.needs_resend());
    assert_eq!(relay.known_revisions()[CONFIGURATION_FEED], 0);
    receiver.record_applied(&written(11), 11);
    assert!(!relay.needs_resend());
    assert_eq!(relay.known_revisions()[CONFIGURATION_FEED], 11);
}

/// A key that comes and goes within one answer to the holder, and that a listener has read
/// from the store in between.
#[test]
fn short_lived_key_removal_sent() {
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    let short_lived = StoreChange::Written(large("b", 12));
    let removed = StoreChange::Removed {
        key: "b".into(),
        revision: 18,
    };
    log.apply(&FeedUpdate::Changes {
        from: 10,
        to: 20,
        changes: latest_changes([short_lived, removed].into_iter()),
    });
    let news = log.update_after(CONFIGURATION_FEED, 15).expect("news");
    let keys: Vec<_> = news.values.iter().map(|value| &*value.key).collect();
    assert_eq!(keys, ["b"], "told up to {}", news.to);
}

/// What came and went between two lists is not known to the holder.
#[test]
fn unseen_span_sent_whole() {
    let mut log = FeedLog::default();
    log.apply(&whole(&["a"], 10, 10));
    log.apply(&whole(&["a"], 30, 10));
    let from = |known| {
        log.update_after(CONFIGURATION_FEED, known)
            .map(|news| news.from)
    };
    assert_eq!(from(10), Some(10));
    assert_eq!(from(20), Some(0));
    assert_eq!(from(30), None);
}

#[test]
fn older_update_restores_nothing() {
    let all = whole(&[], 50, 50);
    assert_eq!(all.clone().merged_with(written(14)), all);
    assert_eq!(all.clone().merged_with(whole(&["a"], 14, 14)), all);
}

#[test]
fn many_removals_forgotten() {
    let mut log = FeedLog::default();
    log.apply(&whole(&[], 10, 10));
    for revision in (11..3_011).step_by(2) {
        let value = StoredValue {
            key: format!("k{revision}"),
            value: "v".into(),
            revision,
        };
        let removed = StoreChange::Removed {
            key: value.key.clone(),
            revision: revision + 1,
        };
        log.apply(&FeedUpdate::Changes {
            from: revision - 1,
            to: revision + 1,
            changes: vec![StoreChange::Written(value), removed],
        });
    }
    // Whoever knows too little is told all there is.
    let news = log.update_after(CONFIGURATION_FEED, 10).expect("news");
    assert_eq!((news.from, news.values.len()), (0, 0));
    let news = log.update_after(CONFIGURATION_FEED, 3_000).expect("news");
    assert_eq!((news.from, news.values.len()), (3_000, 5));
}
