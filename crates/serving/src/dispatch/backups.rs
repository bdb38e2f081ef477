//! Which engine keeps a copy of a run, so that the run survives the failure of its engine.
//!
//! Copies use memory that engines need for their own runs, so only a part of it is given to them.
//! Each dispatcher counts the copies that it has named itself, and has an equal share of that part on
//! every engine, also on engines of other dispatchers: a model's replicas in one hall often belong to
//! several dispatchers.

use super::RunKey;
use crate::forecast::RequestSize;
use crate::hash;
use crate::routes::EnginePool;
use crate::upstreams::{HallEngine, RequestNeeds, UpstreamTable};
use passway_types::prelude::*;
use std::collections::HashMap;

/// At most the engine's memory divided by this number is used for copies.
const COPY_MEMORY_DIVISOR: u64 = 10;

/// The tokens of one engine's memory that each of `choosers` may use for copies of runs; 0 if the
/// engines accept none or their memory is not known.
pub fn copy_limit_tokens(pool: Option<&EnginePool>, choosers: usize) -> u64 {
    let pool = pool.filter(|pool| pool.accepts_run_copies);
    let memory_tokens = pool.and_then(|pool| pool.memory_tokens).unwrap_or(0);
    let choosers = u64::try_from(choosers).unwrap_or(u64::MAX);
    (memory_tokens / COPY_MEMORY_DIVISOR)
        .checked_div(choosers)
        .unwrap_or(0)
}

/// Why no engine keeps a copy of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingBackup {
    /// No other engine in the hall has the model and adapter.
    Absent,
    /// All that have them are full.
    Full,
    /// The others have as many copies as their memory may be used for.
    NoMemory,
}

impl MissingBackup {
    /// All reasons.
    pub const ALL: [Self; 3] = [Self::Absent, Self::Full, Self::NoMemory];

    /// The reason for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Absent => "no other engine",
            Self::Full => "others full",
            Self::NoMemory => "memory bound",
        }
    }
}

/// A run of which a copy should be kept.
#[derive(Clone, Copy)]
pub struct CopiedRun<'a> {
    /// The run.
    pub key: RunKey,
    /// The engine that runs it.
    pub engine: &'a UpstreamId,
    /// What the request needs of an engine.
    pub needs: RequestNeeds<'a>,
    /// The request's size, as its caller claims.
    pub size: RequestSize,
    /// Whether the request does not go to an engine.
    pub is_excluded: &'a dyn Fn(&UpstreamId) -> bool,
    /// How many tokens of one engine's memory may be used for copies.
    pub limit_tokens: u64,
}

impl std::fmt::Debug for CopiedRun<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CopiedRun")
            .field("key", &self.key)
            .field("engine", &self.engine)
            .finish_non_exhaustive()
    }
}

impl CopiedRun<'_> {
    /// The memory that the whole copy uses. A run of unknown size may need all that one engine may
    /// use. No copy is free, whatever its caller claims.
    fn tokens(&self) -> u64 {
        let prompt = self.size.prompt_tokens;
        let output = self.size.expected_output_tokens();
        let tokens = match (prompt, output) {
            (Some(prompt), Some(output)) => u64::from(prompt) + u64::from(output),
            _ => self.limit_tokens,
        };
        tokens.max(1)
    }
}

/// The copy of one run.
#[derive(Debug)]
struct RunCopy {
    engine: UpstreamId,
    tokens: u64,
}

/// The copies on one engine.
#[derive(Debug, Default, Clone, Copy)]
struct EngineCopies {
    copies: u32,
    tokens: u64,
}

/// The copies that a dispatcher, or an instance without dispatchers, has named.
#[derive(Debug, Default)]
pub struct Backups {
    runs: HashMap<RunKey, RunCopy>,
    engines: HashMap<UpstreamId, EngineCopies>,
    missing: Option<MissingBackup>,
}

impl Backups {
    /// The engine that keeps a copy of a run.
    pub fn engine_of(&self, key: RunKey) -> Option<&UpstreamId> {
        self.runs.get(&key).map(|copy| &copy.engine)
    }

    /// The tokens on an engine that are counted for copies.
    pub fn tokens_on(&self, engine: &str) -> u64 {
        self.on(engine).tokens
    }

    fn on(&self, engine: &str) -> EngineCopies {
        self.engines.get(engine).copied().unwrap_or_default()
    }

    /// Chooses the engine that keeps a copy of a run and counts the copy: another one in the same
    /// hall with the fewest copies, and among these the least load. `None` if there is none; see
    /// [`Self::take_missing`].
    pub fn choose(
        &mut self,
        run: &CopiedRun<'_>,
        upstreams: &UpstreamTable,
        load_of: &dyn Fn(&UpstreamId) -> Option<u32>,
        now: Instant,
    ) -> Option<UpstreamId> {
        let tokens = run.tokens();
        let has_memory = |engine: &HallEngine<'_>| {
            let total = self.on(engine.id).tokens.saturating_add(tokens);
            total <= run.limit_tokens
        };
        let mut missing = MissingBackup::Absent;
        let mut best = None;
        for other in upstreams.others_in_hall(run.engine, run.needs, load_of, now) {
            if (run.is_excluded)(other.id) {
                continue;
            }
            if other.is_full {
                if missing == MissingBackup::Absent {
                    missing = MissingBackup::Full;
                }
                continue;
            }
            if !has_memory(&other) {
                missing = MissingBackup::NoMemory;
                continue;
            }
            // Engines that are equal otherwise are drawn by the request's random number.
            let random = hash::mixed(run.needs.random, other.id);
            let rank = (self.on(other.id).copies, other.load, random);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, other.id));
            }
        }
        let Some((_, engine)) = best else {
            self.missing = Some(missing);
            return None;
        };
        self.record(run.key, engine, tokens);
        Some(engine.clone())
    }

    /// Why the last choice found no engine, if that was not asked before.
    pub fn take_missing(&mut self) -> Option<MissingBackup> {
        self.missing.take()
    }

    fn record(&mut self, key: RunKey, engine: &UpstreamId, tokens: u64) {
        self.remove(key);
        let on_engine = self.engines.entry(engine.clone()).or_default();
        on_engine.copies += 1;
        on_engine.tokens = on_engine.tokens.saturating_add(tokens);
        let engine = engine.clone();
        self.runs.insert(key, RunCopy { engine, tokens });
    }

    /// Removes the copy of a run that has ended.
    pub fn remove(&mut self, key: RunKey) {
        if let Some(copy) = self.runs.remove(&key) {
            release(&mut self.engines, &copy);
        }
    }

    /// Removes the copies of runs that are not in progress any more.
    pub fn retain(&mut self, is_running: impl Fn(RunKey) -> bool) {
        let engines = &mut self.engines;
        self.runs.retain(|key, copy| {
            let is_kept = is_running(*key);
            if !is_kept {
                release(engines, copy);
            }
            is_kept
        });
    }
}

fn release(engines: &mut HashMap<UpstreamId, EngineCopies>, copy: &RunCopy) {
    if let Some(on_engine) = engines.get_mut(&copy.engine) {
        on_engine.copies = on_engine.copies.saturating_sub(1);
        on_engine.tokens = on_engine.tokens.saturating_sub(copy.tokens);
        if on_engine.copies == 0 {
            engines.remove(&copy.engine);
        }
    }
}
