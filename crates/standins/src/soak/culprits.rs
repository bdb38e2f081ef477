//! Culprits: requests, or parts of prompts, that crash each server that runs them, and that callers repeat.

use super::callers::RequestKind;
use super::cluster::{CRASHING_PART, CRASHING_PART_BODY, CRASHING_PARTS, POISON, crashing_part};
use passway_types::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time for which each generation of culprits is repeated, and time without any.
const REPEATED_DURATION: Duration = Duration::from_secs(20);
const CALM_DURATION: Duration = Duration::from_secs(6);
/// The culprits of a generation: two requests of each kind, and two parts.
const KINDS: [CulpritKind; 10] = [
    CulpritKind::Request(RequestKind::Resumable),
    CulpritKind::Request(RequestKind::Resumable),
    CulpritKind::Request(RequestKind::Stream),
    CulpritKind::Request(RequestKind::Stream),
    CulpritKind::Request(RequestKind::Again),
    CulpritKind::Request(RequestKind::Again),
    CulpritKind::Request(RequestKind::Once),
    CulpritKind::Request(RequestKind::Once),
    CulpritKind::Part,
    CulpritKind::Part,
];
/// Number of culprits at a time.
pub const CULPRITS: usize = KINDS.len();
/// Ends of servers after which a request, or a part, must be known (users' pages).
const KNOWN_REQUEST_CRASHES: usize = 3;
const KNOWN_PART_CRASHES: usize = 5;

/// What crashes servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CulpritKind {
    /// Each request with the same content, by the kind of its route.
    Request(RequestKind),
    /// Each request with a part.
    Part,
}

impl CulpritKind {
    /// The name in the report.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request(RequestKind::Resumable) => "resumable stream",
            Self::Request(RequestKind::Stream) => "stream",
            Self::Request(RequestKind::Once) => "plain once",
            Self::Request(RequestKind::Again | RequestKind::Version(_)) => "plain repeatable",
            Self::Part => "part",
        }
    }

    /// Number of ends of servers after which requests must not reach servers any more.
    pub fn known_crashes(self) -> usize {
        match self {
            Self::Request(_) => KNOWN_REQUEST_CRASHES,
            Self::Part => KNOWN_PART_CRASHES,
        }
    }
}

/// A request, or a part of prompts, that crashes the servers which run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Culprit {
    /// What it is.
    pub kind: CulpritKind,
    /// The body of the requests; those with a part have their own after it.
    pub body: String,
    /// The id of the part.
    pub part: Option<String>,
}

impl Culprit {
    /// The culprit with this number in a generation, from 1 on.
    fn new(generation: usize, number: usize) -> Self {
        let kind = KINDS[number];
        if kind == CulpritKind::Part {
            // Number 0 is that of the part which random callers send.
            let part = 1 + (generation * CULPRITS + number) % (CRASHING_PARTS - 1);
            return Self {
                kind,
                body: format!("{CRASHING_PART_BODY}{part:x}-{generation}-"),
                part: Some(crashing_part(part)),
            };
        }
        Self {
            kind,
            body: format!("{POISON}-{generation}-{number}"),
            part: None,
        }
    }

    /// The culprits that random callers send as well.
    fn usual() -> [Self; 2] {
        [
            Self {
                kind: CulpritKind::Request(RequestKind::Resumable),
                body: POISON.to_owned(),
                part: None,
            },
            Self {
                kind: CulpritKind::Part,
                body: format!("{CRASHING_PART_BODY}0-"),
                part: Some(CRASHING_PART.to_owned()),
            },
        ]
    }

    /// Whether a request with this body is one of the culprit's.
    pub fn has(&self, body: &str) -> bool {
        match self.kind {
            CulpritKind::Request(_) => body == self.body,
            CulpritKind::Part => body.starts_with(&self.body),
        }
    }
}

/// The generations of culprits of a run.
#[derive(Debug, Default)]
pub struct CulpritCycle(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Number of generations that have begun.
    generation: usize,
    is_repeated: bool,
    changes_at: Option<Instant>,
    /// When culprits were repeated.
    spans: Vec<(Instant, Instant)>,
}

impl CulpritCycle {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins or ends a generation that is due.
    pub fn advance(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let changes_at = *state.changes_at.get_or_insert(now + CALM_DURATION);
        if now < changes_at {
            return;
        }
        state.is_repeated = !state.is_repeated;
        let duration = if state.is_repeated {
            state.generation += 1;
            state.spans.push((now, now + REPEATED_DURATION));
            REPEATED_DURATION
        } else {
            CALM_DURATION
        };
        state.changes_at = Some(now + duration);
    }

    /// The culprit with this number that is repeated now.
    pub fn current(&self, number: usize) -> Option<Culprit> {
        let state = self.lock();
        state
            .is_repeated
            .then(|| Culprit::new(state.generation, number))
    }

    /// All culprits so far.
    pub fn all(&self) -> Vec<Culprit> {
        let generations = 1..=self.lock().generation;
        let culprits = generations.flat_map(|generation| {
            (0..CULPRITS).map(move |number| Culprit::new(generation, number))
        });
        Culprit::usual().into_iter().chain(culprits).collect()
    }

    /// The times in which culprits were repeated.
    pub fn spans(&self) -> Vec<(Instant, Instant)> {
        self.lock().spans.clone()
    }
}
