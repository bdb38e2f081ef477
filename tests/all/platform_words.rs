//! The platform's words stay in `platform/`: everything else speaks the product's own.

use std::path::{Path, PathBuf};

/// Words of headers, calls, fields and settings that nothing else may know.
const WORDS: [&str; 20] = [
    "Response-Seal",
    "Not-Executed",
    "Token-Usage",
    "Prompt-Prefix",
    "Expect-Instance",
    "Request-Urgency",
    "Deadline-Ms",
    "Kv-From",
    "kv-txn",
    "kv-watch",
    "kv-range",
    "tls_key",
    "store_revision",
    "PASSWAY_BOOT",
    "load_model",
    "unload_model",
    "non_idempotent",
    "remaining_ms\"",
    "in_flight\"",
    "op/config",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn words_stay_inside() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "crates", "benches"] {
        sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 100);
    for file in files {
        // Stand-ins speak the platform's protocol to test it.
        if file.starts_with(root.join("crates/standins")) {
            continue;
        }
        let text = std::fs::read_to_string(&file).expect("a source");
        for word in WORDS {
            assert!(!text.contains(word), "{}: {word}", file.display());
        }
    }
}
