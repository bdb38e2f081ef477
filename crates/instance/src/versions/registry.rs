//! The streams that this instance has begun.

use passway_serving::poison::UpstreamStart;
use passway_serving::splits::StreamOrigin;
use passway_serving::upstreams::RestartedUpstream;
use passway_serving::versions::{
    ProvenVersion, STREAM_RETENTION, SoftwareVersion, StreamKey, Unproven,
};
use passway_types::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Maximum number of streams in the registry, at 250 bytes each. If there are more, streams that were
/// delivered to their ends are dropped first, then the oldest; their callers are refused unless the store
/// proves the version.
const MAX_STREAMS: usize = 20_000;
/// Number of streams that are dropped at a time, because each time takes a pass over all of them.
const DROPPED_AT_ONCE: usize = MAX_STREAMS / 8;
/// Longest time that the entry of an upstream's new start takes to reach an instance. A stream that
/// began earlier before the entry arrived was a stream of the previous start.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(10);

/// A stream whose first event has arrived at this instance.
#[derive(Debug, Clone)]
pub(super) struct BegunStream {
    pub(super) service: ServiceName,
    pub(super) origin: StreamOrigin,
    /// The version that began it.
    pub(super) proven: ProvenVersion,
    /// The upstream's process that sent the first event, if only its entry identifies it: a newer process
    /// may have begun the stream before its own entry arrived.
    pub(super) unreported_start: Option<UpstreamStart>,
    pub(super) began_at: Instant,
    /// Whether the stream was delivered to its end.
    pub(super) is_delivered: bool,
    /// Whether the record of the stream was written or is queued.
    pub(super) is_recorded: bool,
    /// Whether another instance delivers the stream, perhaps by another run.
    pub(super) is_for_peer: bool,
    /// Another version that may have begun the stream: that of the process which replaced the upstream's
    /// earlier one under the same id at about that time.
    pub(super) disputed_with: Option<SoftwareVersion>,
}

impl BegunStream {
    /// All versions that may have begun the stream; a stream with two of them is proved by neither.
    fn possible_versions(&self) -> Vec<SoftwareVersion> {
        let versions = std::iter::once(self.proven.software()).chain(&self.disputed_with);
        versions.cloned().collect()
    }
}

/// The streams that this instance has begun, for [`STREAM_RETENTION`].
#[derive(Debug, Default)]
pub(super) struct Registry {
    streams: HashMap<StreamKey, BegunStream>,
    /// All keys in the order of their insertion.
    order: VecDeque<StreamKey>,
}

impl Registry {
    /// Inserts a stream. A key that is used again by another version belongs to neither stream.
    pub(super) fn insert(&mut self, key: StreamKey, stream: BegunStream) {
        self.remove_expired(stream.began_at);
        if let Some(known) = self.streams.get_mut(&key) {
            let software = stream.proven.software().clone();
            let is_other = *known.proven.software() != software;
            known.disputed_with = Some(software)
                .filter(|_| is_other)
                .or(known.disputed_with.take());
            // The other version is recorded as well, and the stream may break off again.
            known.is_recorded &= !is_other;
            known.is_delivered = false;
            return;
        }
        self.streams.insert(key, stream);
        self.order.push_back(key);
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some(key) = self.order.front() {
            let stream = self.streams.get(key);
            let is_expired = stream.is_none_or(|stream| now >= stream.began_at + STREAM_RETENTION);
            if !is_expired {
                break;
            }
            self.remove_oldest();
        }
        if self.order.len() >= MAX_STREAMS {
            self.make_room();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(key) = self.order.pop_front() {
            self.streams.remove(&key);
        }
    }

    /// Drops [`DROPPED_AT_ONCE`] streams: the oldest of those that were delivered to their ends, and the
    /// oldest of the others if these are too few.
    fn make_room(&mut self) {
        let mut excess = DROPPED_AT_ONCE;
        let streams = &mut self.streams;
        self.order.retain(|key| {
            let is_delivered = streams.get(key).is_none_or(|stream| stream.is_delivered);
            let is_dropped = is_delivered && excess > 0;
            if is_dropped {
                streams.remove(key);
                excess -= 1;
            }
            !is_dropped
        });
        for _ in 0..excess {
            self.remove_oldest();
        }
    }

    pub(super) fn mark_delivered(&mut self, key: StreamKey) {
        if let Some(stream) = self.streams.get_mut(&key) {
            stream.is_delivered = true;
        }
    }

    pub(super) fn is_disputed(&self, key: StreamKey) -> bool {
        let stream = self.streams.get(&key);
        stream.is_some_and(|stream| stream.disputed_with.is_some())
    }

    /// Service and version of the stream with one of these keys; `None` if this instance has not begun it
    /// or does not deliver it.
    ///
    /// # Errors
    /// If several may have begun it.
    pub(super) fn find(
        &self,
        keys: impl IntoIterator<Item = StreamKey>,
    ) -> Result<Option<ProvenVersion>, Unproven> {
        let mut streams = keys.into_iter().filter_map(|key| self.streams.get(&key));
        match (streams.next(), streams.next()) {
            (None, _) => Ok(None),
            (Some(stream), None) if stream.disputed_with.is_none() => {
                Ok((!stream.is_for_peer).then(|| stream.proven.clone()))
            }
            _ => Err(Unproven::ConflictingRecords),
        }
    }

    /// The versions to record for a stream that has no record yet; it counts as recorded from now on.
    pub(super) fn take_unrecorded(&mut self, key: StreamKey) -> Vec<SoftwareVersion> {
        let Some(stream) = self.streams.get_mut(&key) else {
            return Vec::new();
        };
        if std::mem::replace(&mut stream.is_recorded, true) {
            return Vec::new();
        }
        stream.possible_versions()
    }

    /// Whether a queued record must still be written. A stream that was delivered to its end needs none; it
    /// counts as unrecorded from now on, in case that it is resumed nevertheless. Of a stream that several
    /// versions may have begun, the records of all of them are written: one alone would prove its version.
    pub(super) fn must_write_record(&mut self, key: StreamKey) -> bool {
        let Some(stream) = self.streams.get_mut(&key) else {
            return true;
        };
        let is_needed = !stream.is_delivered || stream.disputed_with.is_some();
        stream.is_recorded &= is_needed;
        is_needed
    }

    /// Notes that the store may have lost all records.
    pub(super) fn forget_records(&mut self) {
        for stream in self.streams.values_mut() {
            stream.is_recorded = false;
        }
    }

    /// Streams without a record that callers may still resume.
    pub(super) fn unrecorded(&mut self, now: Instant) -> Vec<(StreamKey, BegunStream)> {
        self.remove_expired(now);
        let streams = self.streams.iter();
        let unrecorded = streams.filter(|(_, stream)| !stream.is_recorded && !stream.is_delivered);
        unrecorded
            .map(|(key, stream)| (*key, stream.clone()))
            .collect()
    }

    /// Marks the streams that the new start of an upstream may have begun, and returns them. They must be
    /// recorded again.
    pub(super) fn dispute(&mut self, upstream: &RestartedUpstream, now: Instant) -> Vec<StreamKey> {
        let previous = Some(UpstreamStart {
            upstream: upstream.id.clone(),
            started_at_ms: upstream.previous.started_at_ms,
        });
        let may_be_of_new_start = |stream: &BegunStream| {
            stream.unreported_start == previous
                && *stream.proven.software() != upstream.software
                && now < stream.began_at + MAX_ENTRY_DELAY
        };
        let streams = self.streams.iter_mut();
        let disputed = streams.filter(|(_, stream)| may_be_of_new_start(stream));
        let disputed = disputed.map(|(key, stream)| {
            stream.disputed_with = Some(upstream.software.clone());
            stream.is_recorded = false;
            *key
        });
        disputed.collect()
    }
}
