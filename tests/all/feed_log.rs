//! What an instance keeps of a feed to tell others, and how it travels.

use passway_instance::feed_log::FeedLog;
use passway_instance::news::{Bases, Told};
use passway_instance::relay::CONFIGURATION;
use passway_serving::ports::{Listing, StoreChange, StoreRevision, StoredValue};
use prost::Message;

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

fn written(revision: StoreRevision) -> Told {
    Told::Changes {
        from: revision - 1,
        to: revision,
        changes: vec![StoreChange::Written(large("a", revision))],
    }
}

fn whole(keys: &[&str], revision: StoreRevision, at: StoreRevision) -> Told {
    let values = keys.iter().map(|key| large(key, at));
    Told::Whole(Listing {
        values: values.collect(),
        revision,
    })
}

#[test]
fn packed_against_known() {
    let mut log = FeedLog::default();
    let mut bases = Bases::default();
    log.add(&whole(&["a"], 10, 10));
    let all = log.after(CONFIGURATION, 0).expect("all");
    let all = bases.decode(all).expect("readable");
    assert_eq!(all, whole(&["a"], 10, 10));
    for revision in 11..14 {
        log.add(&written(revision));
        let news = log.after(CONFIGURATION, revision - 1).expect("news");
        let bytes = news.encoded_len();
        assert!(bytes < 1_000, "{bytes} bytes for a small difference");
        assert_eq!(bases.decode(news).expect("readable"), written(revision));
    }
}

#[test]
fn other_base_refused() {
    let mut log = FeedLog::default();
    log.add(&whole(&["a"], 10, 10));
    log.add(&written(11));
    let news = log.after(CONFIGURATION, 10).expect("news");
    // It knows another value of the key than it should.
    let mut bases = Bases::default();
    bases.note(&whole(&["a"], 9, 9));
    assert!(bases.decode(news).is_err());
    // One that has missed a version is told it without the one before.
    let news = log.after(CONFIGURATION, 9).expect("news");
    let told = bases.decode(news).expect("readable");
    assert_eq!(told, whole(&["a"], 11, 11));
}

#[test]
fn newest_only() {
    let mut log = FeedLog::default();
    log.add(&whole(&["a"], 10, 10));
    let mut waiting = written(11);
    log.add(&waiting);
    for revision in 12..500 {
        log.add(&written(revision));
        waiting = waiting.followed_by(written(revision));
    }
    let news = log.after(CONFIGURATION, 10).expect("news");
    assert_eq!((news.from, news.to, news.values.len()), (10, 499, 1));
    let newest = StoreChange::Written(large("a", 499));
    let expected = Told::Changes {
        from: 10,
        to: 499,
        changes: vec![newest],
    };
    assert_eq!(waiting, expected);
}

#[test]
fn gap_is_left() {
    let waiting = written(11).followed_by(written(20));
    assert_eq!(waiting, written(20));
    let listed = whole(&["a"], 10, 10).followed_by(written(11));
    assert_eq!(listed, whole(&["a"], 11, 11));
}

#[test]
fn list_tells_differences() {
    let mut log = FeedLog::default();
    log.add(&whole(&["a", "b"], 10, 10));
    // The store's history was gone, and it was listed again.
    assert!(log.add(&whole(&["a"], 30, 10)));
    let news = log.after(CONFIGURATION, 20).expect("news");
    let told: Vec<_> = news.values.iter().map(|v| (&*v.key, &v.value)).collect();
    assert_eq!(told, [("b", &None)]);
    assert!(!log.add(&whole(&["a"], 40, 10)));
}

#[test]
fn many_removals_forgotten() {
    let mut log = FeedLog::default();
    log.add(&whole(&[], 10, 10));
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
        log.add(&Told::Changes {
            from: revision - 1,
            to: revision + 1,
            changes: vec![StoreChange::Written(value), removed],
        });
    }
    // Whoever knows too little is told all there is.
    let news = log.after(CONFIGURATION, 10).expect("news");
    assert_eq!((news.from, news.values.len()), (0, 0));
    let news = log.after(CONFIGURATION, 3_000).expect("news");
    assert_eq!((news.from, news.values.len()), (3_000, 5));
}
