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
pub(super) struct ShownModels {
    sets: VecDeque<ModelSet>,
    /// Whether the first of them was shown by an entry; else entries may show what the engine
    /// had before any of them.
    is_shown: bool,
}

fn set_of(models: &[ResidentModel]) -> ModelSet {
    models.iter().map(|model| model.name.clone()).collect()
}

impl ShownModels {
    /// Nothing is known any more, until the engine reports.
    pub(super) fn clear(&mut self) {
        self.sets.clear();
        self.is_shown = false;
    }

    /// The engine has these models now; `shown` are those of its entry.
    pub(super) fn has(&mut self, models: &[ResidentModel], shown: &[ResidentModel]) {
        let now = set_of(models);
        if self.sets.is_empty() {
            self.is_shown = now == set_of(shown);
        }
        if self.sets.back() != Some(&now) {
            self.sets.push_back(now);
        }
    }

    /// An entry shows these models: whether that is something that the engine has not had
    /// before, as far as entries may be late.
    pub(super) fn is_new(&mut self, shown: &[ResidentModel]) -> bool {
        let shown = set_of(shown);
        let Some(index) = self.sets.iter().position(|set| *set == shown) else {
            return self.is_shown;
        };
        // It shows this set, or the same one later: the earlier leaves more open.
        if self.is_shown || index + 1 == self.sets.len() {
            self.sets.drain(..index);
            self.is_shown = true;
        }
        false
    }
}
