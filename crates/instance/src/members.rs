//! Instances that the holder of leadership knows, and how a new holder reaches those that cannot
//! learn of it from the store.
//!
//! An instance that is cut off from the store follows the holder during the holder's term, but
//! cannot learn of its successor. It would keep acting on old data, nobody would receive its needs,
//! and it would refuse requests for models that are not loaded. Such a cut of 7 s caused all
//! refusals of a calm day. A holder therefore sends the candidates the addresses of all
//! subscribers, and a new holder connects to those that did not connect by themselves.

use crate::shared::Shared;
use passway_process::dial::{DialEvent, Dialer};
use passway_process::outbox::Outbox;
use passway_serving::leadership::Holder;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Member, Members, NewHolder};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Instances that reach the store have connected by then: they learn of the new holder at once, and
/// their dialers retry within this time.
const RECONNECT_WINDOW: Duration = Duration::from_millis(700);
/// How long a new holder tries to reach the other instances. A cut of the store lasts some seconds.
const ANNOUNCEMENT_WINDOW: Duration = Duration::from_secs(10);
/// Number of instances that a new holder connects to at a time; each costs a thread at both ends.
const MAX_ANNOUNCED_AT_ONCE: usize = 128;
/// How long a new holder tries to reach one instance while others wait for their turn.
const ANNOUNCEMENT_TURN: Duration = Duration::from_secs(1);

/// Addresses where instances listen for other instances, by name.
pub type Addresses = BTreeMap<InstanceId, SocketAddr>;

/// Decodes the addresses in a message, leaving out unreadable ones.
pub fn decode(members: &Members) -> Addresses {
    let addresses = members.members.iter().filter_map(|member| {
        let address = member.address.parse().ok()?;
        Some((InstanceId::from(member.instance.as_str()), address))
    });
    addresses.collect()
}

/// Encodes addresses as a message.
pub fn encode(addresses: &Addresses) -> Members {
    let members = addresses.iter().map(|(instance, address)| Member {
        instance: instance.to_string(),
        address: address.to_string(),
    });
    Members {
        members: members.collect(),
    }
}

/// The holder that a message names; `None` if its address is unreadable.
pub fn decode_holder(message: &NewHolder) -> Option<Holder> {
    Some(Holder {
        instance: message.instance.as_str().into(),
        address: message.address.parse().ok()?,
        fence: message.fence,
    })
}

/// Tracks which connections were sent which list of members.
///
/// Only candidates need the list, and they receive it with the heartbeat. Sending each of `n`
/// instances every other one as it connects costs `n`³/3 addresses while a fleet starts. With 295
/// instances that was 430 MB, which delayed the holder's renewals until it lost leadership.
#[derive(Debug, Default)]
pub struct MemberListTracker {
    /// The list that was sent last.
    last_sent: Addresses,
    /// The connections to which that list was sent.
    sent_to: BTreeSet<u64>,
}

impl MemberListTracker {
    /// Returns the candidates' connections that must be sent the list now, and records it as sent
    /// to all candidates.
    pub fn due_connections(
        &mut self,
        members: &Addresses,
        candidates: impl Iterator<Item = u64>,
    ) -> BTreeSet<u64> {
        if self.last_sent != *members {
            self.last_sent.clone_from(members);
            self.sent_to.clear();
        }
        let candidates: BTreeSet<u64> = candidates.collect();
        let due = candidates.difference(&self.sent_to).copied().collect();
        self.sent_to = candidates;
        due
    }
}

/// Another holder's announcement, kept until this instance needs it.
///
/// A holder announces its term once. The announcement may arrive before this instance notices that
/// the store does not answer, because a call takes up to a second to fail.
#[derive(Debug, Default)]
pub struct PendingAnnouncement(Option<(Holder, Instant)>);

impl PendingAnnouncement {
    /// Stores an announcement. An older term never replaces a newer one.
    pub fn store(&mut self, holder: Holder, now: Instant) {
        let newest = self.0.as_ref().map(|(known, _)| known.fence);
        if newest.is_none_or(|newest| holder.fence >= newest) {
            self.0 = Some((holder, now + ANNOUNCEMENT_WINDOW));
        }
    }

    /// Takes the announced holder once `is_cut_off`; each announcement is returned once.
    pub fn take(&mut self, is_cut_off: bool, now: Instant) -> Option<Holder> {
        self.0.take_if(|(_, until)| now >= *until);
        let (holder, _) = self.0.take_if(|_| is_cut_off)?;
        Some(holder)
    }
}

/// The announcement of a new term to instances that did not connect by themselves.
#[derive(Debug)]
pub struct Announcement {
    fence: Fence,
    begun_at: Instant,
    /// Instances to notify at once: they may be extending another holder's leadership without the
    /// store, and that holder stops when it learns of this one.
    urgent: Addresses,
    /// Connections to instances that did not connect; dropped when they do.
    calls: BTreeMap<InstanceId, Call>,
    /// The instance whose turn began last, by the order of names.
    last_turn: Option<InstanceId>,
}

/// A connection to an instance that did not connect; closed when dropped.
#[derive(Debug)]
struct Call {
    began_at: Instant,
    outbox: Arc<Mutex<Option<Outbox>>>,
    _dialer: Dialer,
}

impl Call {
    /// Connects to an instance and sends it a message.
    fn start(address: SocketAddr, message: Body, now: Instant) -> Self {
        let outbox = Arc::new(Mutex::new(None));
        let connected = outbox.clone();
        let dialer = Dialer::start(address, move |dialed| match dialed {
            DialEvent::Connected(outbox) => {
                outbox.send(message.clone());
                // Keeps the connection open until the peer has read the message.
                *lock(&connected) = Some(outbox);
            }
            DialEvent::Disconnected => *lock(&connected) = None,
            DialEvent::Received(_) => {}
        });
        Self {
            began_at: now,
            outbox,
            _dialer: dialer,
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // The dialer's thread would otherwise wait for the peer to send something.
        if let Some(outbox) = lock(&self.outbox).take() {
            outbox.close();
        }
    }
}

fn lock(outbox: &Mutex<Option<Outbox>>) -> MutexGuard<'_, Option<Outbox>> {
    outbox.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Announcement {
    /// Begins the announcement of a term.
    pub fn begin(fence: Fence, urgent: Addresses, now: Instant) -> Self {
        Self {
            fence,
            begun_at: now,
            urgent,
            calls: BTreeMap::new(),
            last_turn: None,
        }
    }

    /// Connects to members that are not among the connected ones. Returns whether the announcement
    /// is complete.
    pub fn advance(&mut self, shared: &Shared, connected: &Addresses, now: Instant) -> bool {
        if now >= self.begun_at + ANNOUNCEMENT_WINDOW {
            return true;
        }
        let this_instance = &shared.settings.instance;
        let others_should_have_connected = now >= self.begun_at + RECONNECT_WINDOW;
        let members = shared.members();
        let others = members.iter().filter(|_| others_should_have_connected);
        let known = self.urgent.iter().chain(others);
        let missing: Addresses = known
            .filter(|(name, _)| *name != this_instance && !connected.contains_key(*name))
            .map(|(name, address)| (name.clone(), *address))
            .collect();
        drop(members);
        let must_take_turns = missing.len() > MAX_ANNOUNCED_AT_ONCE;
        self.calls.retain(|name, call| {
            let has_turn = !must_take_turns || now < call.began_at + ANNOUNCEMENT_TURN;
            has_turn && missing.contains_key(name)
        });
        for (name, address) in self.next_turns(&missing) {
            let message = Body::NewHolder(NewHolder {
                instance: this_instance.to_string(),
                address: shared.settings.peer_address.to_string(),
                fence: self.fence,
            });
            self.last_turn = Some(name.clone());
            self.calls.insert(name, Call::start(address, message, now));
        }
        others_should_have_connected && self.calls.is_empty()
    }

    /// The missing instances to connect to now. Turns follow the order of names, and begin anew
    /// after the last name.
    fn next_turns(&self, missing: &Addresses) -> Vec<(InstanceId, SocketAddr)> {
        let is_later = |name: &InstanceId| self.last_turn.as_ref().is_none_or(|last| name > last);
        let (later, earlier): (Vec<_>, Vec<_>) =
            missing.iter().partition(|(name, _)| is_later(name));
        let waiting = later.into_iter().chain(earlier);
        let waiting = waiting.filter(|(name, _)| !self.calls.contains_key(*name));
        let free = MAX_ANNOUNCED_AT_ONCE.saturating_sub(self.calls.len());
        let next = waiting.take(free);
        next.map(|(name, address)| (name.clone(), *address))
            .collect()
    }
}
