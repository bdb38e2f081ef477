//! Instances that are known from the holder of the right to order, and how a new holder
//! reaches those that cannot learn of it from the store.
//!
//! An instance that is cut off from the store follows the holder for as long as that holds
//! the right. When the right goes to another one it cannot learn so: it goes on by what it
//! knew, its needs reach nobody, and requests for models that stand nowhere are refused (on
//! a calm day with such a cut of 7 s, all of the day's refusals). So a holder tells all who
//! listen where each of them can be reached, and a new one connects to those that have not
//! come by themselves.

use crate::shared::Shared;
use passway_process::dial::{Dialed, Dialer};
use passway_process::outbox::Outbox;
use passway_serving::leadership::Holder;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Member, Members, Successor};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Instances that reach the store have come by then: they hear of the new holder at once and
/// connect within a retry of their dialers.
const COMING_TIME: Duration = Duration::from_millis(700);
/// For so long a new holder tries to reach the others; a cut of the store lasts some seconds.
const ANNOUNCING_TIME: Duration = Duration::from_secs(10);

/// Where instances listen for others, by name.
pub type Addresses = BTreeMap<InstanceId, SocketAddr>;

/// The addresses that a message tells; those that cannot be read are left out.
pub fn decode(members: &Members) -> Addresses {
    let addresses = members.members.iter().filter_map(|member| {
        let address = member.address.parse().ok()?;
        Some((InstanceId::from(member.instance.as_str()), address))
    });
    addresses.collect()
}

/// The message that tells addresses.
pub fn encode(addresses: &Addresses) -> Members {
    let members = addresses.iter().map(|(instance, address)| Member {
        instance: instance.to_string(),
        address: address.to_string(),
    });
    Members {
        members: members.collect(),
    }
}

/// The holder that a message names.
pub fn successor(told: &Successor) -> Option<Holder> {
    Some(Holder {
        instance: told.instance.as_str().into(),
        address: told.address.parse().ok()?,
        fence: told.fence,
    })
}

/// Who has been told of which members.
///
/// Only those that may succeed the holder need the list, and they are told by heartbeat: to
/// tell each of `n` instances of each that comes costs `n`³/3 addresses while a fleet starts,
/// 430 MB for 295 of them, which delayed the holder's renewals behind them until it had lost
/// the right.
#[derive(Debug, Default)]
pub struct Roster {
    /// The list as it was told last.
    listed: Addresses,
    /// The connections to which it was told.
    told: BTreeSet<u64>,
}

impl Roster {
    /// The connections, of those that may succeed the holder, to which the list is to be told
    /// now; they count as told.
    pub fn due(
        &mut self,
        members: &Addresses,
        successors: impl Iterator<Item = u64>,
    ) -> BTreeSet<u64> {
        if self.listed != *members {
            self.listed.clone_from(members);
            self.told.clear();
        }
        let successors: BTreeSet<u64> = successors.collect();
        let due = successors.difference(&self.told).copied().collect();
        self.told = successors;
        due
    }
}

/// The announcement of a new holder, kept until this instance has use for it.
///
/// It is made once, and may come before this instance has noticed that the store does not
/// answer it: a call takes up to a second to fail.
#[derive(Debug, Default)]
pub struct KeptAnnouncement(Option<(Holder, Instant)>);

impl KeptAnnouncement {
    /// An announcement has come. An older term never replaces a newer one.
    pub fn keep(&mut self, holder: Holder, now: Instant) {
        let newest = self.0.as_ref().map(|(known, _)| known.fence);
        if newest.is_none_or(|newest| holder.fence >= newest) {
            self.0 = Some((holder, now + ANNOUNCING_TIME));
        }
    }

    /// The holder to follow, once `is_cut_off`; each announcement is given out once.
    pub fn take(&mut self, is_cut_off: bool, now: Instant) -> Option<Holder> {
        self.0.take_if(|(_, until)| now >= *until);
        let (holder, _) = self.0.take_if(|_| is_cut_off)?;
        Some(holder)
    }
}

/// The words of a new holder to those that have not come by themselves.
#[derive(Debug)]
pub struct Announcement {
    fence: Fence,
    begun_at: Instant,
    /// Those that are told at once: they may carry another holder without the store, which
    /// stops when it hears of this one.
    urgent: Addresses,
    /// Connections to those that did not come; dropped when they have.
    dialers: BTreeMap<InstanceId, Dialer>,
}

impl Announcement {
    /// A term begins.
    pub fn begin(fence: Fence, urgent: Addresses, now: Instant) -> Self {
        Self {
            fence,
            begun_at: now,
            urgent,
            dialers: BTreeMap::new(),
        }
    }

    /// Connects to members that are not among those that have come; whether it is over.
    pub fn go_on(&mut self, shared: &Shared, come: &Addresses, now: Instant) -> bool {
        if now >= self.begun_at + ANNOUNCING_TIME {
            return true;
        }
        let me = &shared.settings.instance;
        let others_should_have_come = now >= self.begun_at + COMING_TIME;
        let members = shared.members();
        let others = members.iter().filter(|_| others_should_have_come);
        let known = self.urgent.iter().chain(others);
        let missing: Addresses = known
            .filter(|(name, _)| *name != me && !come.contains_key(*name))
            .map(|(name, address)| (name.clone(), *address))
            .collect();
        drop(members);
        self.dialers.retain(|name, _| missing.contains_key(name));
        for (name, address) in missing {
            let word = Body::Successor(Successor {
                instance: me.to_string(),
                address: shared.settings.peer_address.to_string(),
                fence: self.fence,
            });
            let dialer = self.dialers.entry(name);
            dialer.or_insert_with(|| {
                let mut connection: Option<Outbox> = None;
                Dialer::start(address, move |dialed| match dialed {
                    Dialed::Connected(outbox) => {
                        outbox.send(word.clone());
                        // Kept open until it was read.
                        connection.replace(outbox);
                    }
                    Dialed::Disconnected => drop(connection.take()),
                    Dialed::Received(_) => {}
                })
            });
        }
        others_should_have_come && self.dialers.is_empty()
    }
}
