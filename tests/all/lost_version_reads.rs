//! Streams that are taken up while the store leaves one read for the proof of their version without an
//! answer, and answers all others.

use crate::cluster::{self, until};
use crate::software_versions::{BrokenStream, engine, slow_down};
use passway_instance::{Instance, Surroundings};
use passway_serving::ports::{
    ConditionalWrite, LeaseId, ListPage, RenewalAnswer, SharedStore, StoreError, StoreRevision,
    WatchAnswer, WriteAnswer,
};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use passway_users_platform::{MetadataStore, PlatformDirectory, PlatformHeaders, ServerControl};
use std::sync::atomic::{AtomicU32, Ordering};

/// Time until a read without an answer fails, as with the client of the store.
const UNANSWERED: Duration = Duration::from_millis(700);

/// What happens to a read.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// It ends after [`UNANSWERED`].
    Hangs,
    /// The thread that makes the call panics.
    Panics,
}

/// A client of the store that loses the next reads of a prefix.
struct LosingStore {
    client: MetadataStore,
    prefix: &'static str,
    loss: Loss,
    to_lose: AtomicU32,
}

impl SharedStore for LosingStore {
    fn list_page(&self, prefix: &str, after_key: Option<&str>) -> Result<ListPage, StoreError> {
        let lose_one = |count: u32| count.checked_sub(1);
        let is_lost = prefix.starts_with(self.prefix)
            && self
                .to_lose
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, lose_one)
                .is_ok();
        match self.loss {
            Loss::Hangs if is_lost => {
                std::thread::sleep(UNANSWERED);
                Err(StoreError::Unknown)
            }
            Loss::Panics if is_lost => {
                // Unwinds as a panic does, without the backtrace, whose symbols take longer than a proof may.
                std::panic::resume_unwind(Box::new("a read of the store ends its thread"))
            }
            Loss::Hangs | Loss::Panics => self.client.list_page(prefix, after_key),
        }
    }

    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchAnswer, StoreError> {
        self.client.watch(prefix, after, wait)
    }

    fn write(&self, writes: &[ConditionalWrite]) -> Result<WriteAnswer, StoreError> {
        self.client.write(writes)
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError> {
        self.client.grant_lease(time_to_live)
    }

    fn renew_lease_with_timeout(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> Result<RenewalAnswer, StoreError> {
        self.client.renew_lease_with_timeout(lease, timeout)
    }

    fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.client.end_lease(lease)
    }
}

/// Starts an instance that loses reads of `prefix` once [`LosingStore::to_lose`] is set.
fn start_losing(
    store: &MetadataStandIn,
    prefix: &'static str,
    loss: Loss,
) -> (Instance, Arc<LosingStore>) {
    cluster::log_if_requested();
    let settings = cluster::settings("two", store.serve());
    let losing = Arc::new(LosingStore {
        client: MetadataStore::new(settings.store_address),
        prefix,
        loss,
        to_lose: AtomicU32::new(0),
    });
    let surroundings = Surroundings {
        store: losing.clone(),
        directory: Arc::new(PlatformDirectory),
        vocabulary: Box::new(PlatformHeaders),
        engines: Arc::new(ServerControl::default()),
    };
    let instance = Instance::start(settings, surroundings).expect("an instance");
    until("readiness", || instance.is_ready());
    until("streams may begin", || instance.begins_streams());
    (instance, losing)
}

/// Takes streams up one after the other, each while one read is lost, and requires that all go on.
fn goes_on_beside_lost_read(prefix: &'static str, loss: Loss, versions: &[&str]) {
    let store = cluster::store(&["m0"]);
    let engines = (0..)
        .zip(versions)
        .map(|(number, software)| engine(&store, &format!("i-{number}"), software));
    let engines: Vec<_> = engines.collect();
    let first = cluster::start_ready("one", &store);
    slow_down(&engines.iter().collect::<Vec<_>>());
    let streams = BrokenStream::begin_many(&first);
    let (second, losing) = start_losing(&store, prefix, loss);
    let went_on = streams.iter().filter(|stream| {
        losing.to_lose.store(1, Ordering::Release);
        let rest = stream.take_up(&second);
        stream.goes_on_with(&rest)
    });
    assert_eq!(went_on.count(), streams.len());
}

/// Guards against take-ups that are refused because a read of the list hangs: they waited for it until
/// their half second was over, and so did all that came before it had ended.
#[test]
fn read_of_list_hangs() {
    goes_on_beside_lost_read("passway/versions", Loss::Hangs, &["v1"]);
}

/// Guards against an instance that never reads the list again after a read has panicked.
#[test]
fn read_of_list_panics() {
    goes_on_beside_lost_read("passway/versions", Loss::Panics, &["v1"]);
}

/// Guards against take-ups that are refused because the read of their record hangs.
#[test]
fn read_of_record_hangs() {
    goes_on_beside_lost_read("passway-streams/", Loss::Hangs, &["v1", "v2"]);
}
