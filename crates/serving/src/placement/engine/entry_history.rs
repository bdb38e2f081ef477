//! Decides whether an engine's entry shows models that the holder does not know of yet.
//!
//! An entry shows the effect of an order at once, a report 200 ms later. But entries also arrive
//! late, by seconds when the store is slow: an entry without a model may be older than the load of
//! that model. Entries arrive in the order in which they were written, and the holder knows every
//! set of models that the engine has had. An entry is therefore new exactly if it shows none of the
//! sets that a late entry may still show.

use crate::upstreams::ResidentModel;
use passway_types::prelude::*;
use std::collections::{BTreeSet, VecDeque};

/// The models of an engine at one time.
type ModelSet = BTreeSet<ModelName>;

/// The sets of models that an engine has had, from the set that its entries showed last to the
/// current set.
#[derive(Debug, Default)]
pub(super) struct EntryHistory {
    sets: VecDeque<ModelSet>,
    /// Whether an entry has shown the first set. Otherwise entries may still show older sets, which
    /// are unknown.
    is_first_shown: bool,
}

fn model_set(models: &[ResidentModel]) -> ModelSet {
    models.iter().map(|model| model.name.clone()).collect()
}

impl EntryHistory {
    /// Forgets all sets; the next report begins a new history.
    pub(super) fn clear(&mut self) {
        self.sets.clear();
        self.is_first_shown = false;
    }

    /// Records the engine's current models; `entry_models` are those of its latest entry.
    pub(super) fn record(&mut self, models: &[ResidentModel], entry_models: &[ResidentModel]) {
        let current = model_set(models);
        if self.sets.is_empty() {
            self.is_first_shown = current == model_set(entry_models);
        }
        if self.sets.back() != Some(&current) {
            self.sets.push_back(current);
        }
    }

    /// Whether an entry shows models that the engine cannot have had before, even if the entry is
    /// late.
    pub(super) fn shows_new_models(&mut self, entry_models: &[ResidentModel]) -> bool {
        let entry_set = model_set(entry_models);
        let Some(index) = self.sets.iter().position(|set| *set == entry_set) else {
            return self.is_first_shown;
        };
        // The set may occur more than once in the history. The entry is taken for the earliest
        // occurrence, which leaves the most sets possible.
        if self.is_first_shown || index + 1 == self.sets.len() {
            self.sets.drain(..index);
            self.is_first_shown = true;
        }
        false
    }
}
