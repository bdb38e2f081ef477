//! What the store tells: the configuration and the upstreams, each by its own watch.

use crate::holder::Input;
use crate::shared::Shared;
use crossbeam::channel::Sender;
use passway_serving::ports::{
    Directory, Listing, SharedStore, StoreChange, StoreError, StoreRevision, StoredValue,
    WatchAnswer,
};
use passway_types::prelude::*;

/// Longest wait of one watch; a watch on a connection that was cut silently is noticed after it.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Pause after the store refused or did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Takes in what lies under a prefix.
pub trait Feed: Send {
    /// The prefix.
    fn prefix(&self) -> String;
    /// Everything was read.
    fn listed(&mut self, listing: Listing);
    /// Something has changed.
    fn changed(&mut self, change: StoreChange);
    /// All changes that are known were taken in; the pause before asking for more.
    fn settled(&mut self) -> Duration;
}

/// Follows a prefix for as long as the process lives.
pub fn follow(store: Arc<dyn SharedStore>, mut feed: impl Feed + 'static) {
    std::thread::spawn(move || {
        let prefix = feed.prefix();
        let mut known: Option<StoreRevision> = None;
        loop {
            match step(&*store, &mut feed, &prefix, known) {
                Ok(revision) => {
                    known = revision;
                    std::thread::sleep(feed.settled());
                }
                Err(error) => {
                    log::debug!(prefix = prefix, error:? = error; "the store gave no answer");
                    std::thread::sleep(RETRY_PAUSE);
                }
            }
        }
    });
}

/// One list or watch; the point from which to go on, or `None` to list anew.
fn step(
    store: &dyn SharedStore,
    feed: &mut impl Feed,
    prefix: &str,
    known: Option<StoreRevision>,
) -> Result<Option<StoreRevision>, StoreError> {
    let Some(after) = known else {
        let listing = store.list(prefix)?;
        let revision = listing.revision;
        feed.listed(listing);
        return Ok(Some(revision));
    };
    match store.watch(prefix, after, WATCH_WAIT)? {
        WatchAnswer::HistoryGone => Ok(None),
        WatchAnswer::Changes { changes, revision } => {
            for change in changes {
                feed.changed(change);
            }
            Ok(Some(revision.max(after)))
        }
    }
}

/// Takes in the configuration.
pub struct ConfigurationFeed {
    /// What the instance shares.
    pub shared: Arc<Shared>,
    /// Decodes it.
    pub directory: Arc<dyn Directory>,
}

impl ConfigurationFeed {
    fn take(&self, value: &StoredValue) {
        match self.directory.configuration(value) {
            Ok(Some(table)) => {
                let known = self.shared.routes.load();
                // A version never gives way to an older one.
                if known
                    .as_ref()
                    .is_some_and(|known| known.version >= table.version)
                {
                    return;
                }
                log::info!(version = table.version; "configuration in force");
                self.shared.routes.store(Some(Arc::new(table)));
            }
            Ok(None) => {}
            Err(error) => {
                log::error!(error:% = format!("{error:#}"); "a configuration cannot be used; the last good one stays in force");
            }
        }
    }
}

impl Feed for ConfigurationFeed {
    fn prefix(&self) -> String {
        self.directory.configuration_prefix().to_owned()
    }

    fn listed(&mut self, listing: Listing) {
        for value in &listing.values {
            self.take(value);
        }
    }

    fn changed(&mut self, change: StoreChange) {
        if let StoreChange::Written(value) = change {
            self.take(&value);
        }
    }

    fn settled(&mut self) -> Duration {
        Duration::ZERO
    }
}

/// Takes in the upstreams.
pub struct UpstreamFeed {
    /// What the instance shares.
    pub shared: Arc<Shared>,
    /// Decodes it.
    pub directory: Arc<dyn Directory>,
    /// The thread that orders, if this instance may.
    pub holder: Sender<Input>,
}

/// Changes of upstreams within this time are taken in by one call.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(50);

impl UpstreamFeed {
    fn tell(&self, input: Input) {
        // The deciding thread ends only with the process.
        let _ = self.holder.send(input);
    }

    fn decode(&self, value: &StoredValue) -> Option<passway_serving::upstreams::UpstreamEntry> {
        match self.directory.upstream(value, Instant::now()) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log::warn!(key = value.key, error:% = format!("{error:#}"); "an upstream's entry cannot be used");
                None
            }
        }
    }
}

impl Feed for UpstreamFeed {
    fn prefix(&self) -> String {
        self.directory.upstream_prefix().to_owned()
    }

    fn listed(&mut self, listing: Listing) {
        let entries = listing.values.iter().filter_map(|value| self.decode(value));
        let entries: Vec<_> = entries.collect();
        let ids = entries.iter().map(|entry| entry.id.clone());
        self.tell(Input::Listed(ids.collect()));
        for entry in &entries {
            self.tell(Input::Heard(entry.clone()));
        }
        self.shared.upstreams().replace(entries, Instant::now());
        self.shared.set_upstreams_listed();
        self.shared.upstreams_changed();
    }

    fn changed(&mut self, change: StoreChange) {
        match change {
            StoreChange::Written(value) => {
                log::debug!(value:% = String::from_utf8_lossy(&value.value); "an upstream's word");
                if let Some(entry) = self.decode(&value) {
                    self.tell(Input::Heard(entry.clone()));
                    self.shared.upstreams().update(entry, Instant::now());
                }
            }
            StoreChange::Removed { key } => {
                if let Some(id) = self.directory.upstream_id(&key) {
                    self.shared.upstreams().remove(id);
                    self.shared.pool.forget(id);
                    let entries = self.shared.upstreams();
                    let ids = entries.entries().map(|entry| entry.id.clone()).collect();
                    drop(entries);
                    self.tell(Input::Listed(ids));
                }
            }
        }
    }

    fn settled(&mut self) -> Duration {
        self.shared.upstreams_changed();
        UPSTREAM_PAUSE
    }
}
