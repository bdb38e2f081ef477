//! What an engine's entries have shown of its models, beside what is known of them.
//!
//! An entry shows the effect of an order at once where a report shows it 200 ms late. But entries
//! arrive late too, by seconds when the store is slow, and one without a model may be from a time
//! before that came. They arrive in the order in which they were written, though, and every set of models
//! that the engine has had is known: so an entry tells something new exactly if it shows none
//! of the sets that it may still be late with.

use crate::upstreams::ResidentModel;
use passway_types::prelude::*;
use std::collections::{BTreeSet, VecDeque};

/// The models of an engine at one moment.
type ModelSet = BTreeSet<ModelName>;

/// The sets of models that an engine has had, from the one that its entries showed last to the
/// one that it has now.
#[derive(Debug, Default)]
pub(super) struct EntryHistory {
    sets: VecDeque<ModelSet>,
    /// Whether the first of them was shown by an entry; else entries may show what the engine
    /// had before any of them.
    is_first_shown: bool,
}

fn set_of(models: &[ResidentModel]) -> ModelSet {
    models.iter().map(|model| model.name.clone()).collect()
}

impl EntryHistory {
    /// Nothing is known any more, until the engine reports.
    pub(super) fn clear(&mut self) {
        self.sets.clear();
        self.is_first_shown = false;
    }

    /// The engine has these models now; `shown` are those of its entry.
    pub(super) fn record(&mut self, models: &[ResidentModel], entry_models: &[ResidentModel]) {
        let current = set_of(models);
        if self.sets.is_empty() {
            self.is_first_shown = current == set_of(entry_models);
        }
        if self.sets.back() != Some(&current) {
            self.sets.push_back(current);
        }
    }

    /// An entry shows these models: whether that is something that the engine has not had
    /// before, as far as entries may be late.
    pub(super) fn shows_new_models(&mut self, entry_models: &[ResidentModel]) -> bool {
        let entry_set = set_of(entry_models);
        let Some(index) = self.sets.iter().position(|set| *set == entry_set) else {
            return self.is_first_shown;
        };
        // It shows this set, or the same one later: the earlier leaves more open.
        if self.is_first_shown || index + 1 == self.sets.len() {
            self.sets.drain(..index);
            self.is_first_shown = true;
        }
        false
    }
}
