//! Workspaces: which keys may use closed routes, with which priority, and how much.
//!
//! A configuration lists the workspaces, each with its keys. A key is secret, so only its digest
//! is stored, and requests are compared by digest. No log line, metric or `Debug` output can show
//! a key, and the duration of a comparison reveals nothing about it.

use crate::halls::AllowedRegions;
use anyhow::ensure;
use passway_types::hash::{DIGEST_BYTES, stable_digest};
use passway_types::prelude::*;
use std::collections::HashMap;
use std::fmt;

/// The digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(stable_digest(&[key]))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// What a workspace may use, over all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Allotment {
    /// Units a second.
    pub rate_per_s: f64,
    /// Units that may be used at once in addition.
    pub burst: f64,
}

/// The unit in which a workspace's use is counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CostUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its maximum number of tokens, input and output.
    Tokens {
        /// The cost of a request that names no tokens.
        default_tokens: f64,
    },
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The workspace's name.
    pub name: WorkspaceName,
    /// The priority, which overrides that of routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What the workspace may use; `None` for no limit.
    pub allotment: Option<Allotment>,
    /// The unit of the allotment.
    pub unit: CostUnit,
    /// The regions in which the workspace's requests may be served.
    pub allowed: AllowedRegions,
}

impl Workspace {
    /// The cost of a request that names this many tokens.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            CostUnit::Requests => 1.0,
            // A number beyond 32 bits exceeds any allotment, so it need not be exact.
            CostUnit::Tokens { default_tokens } => tokens.map_or(default_tokens, |n| {
                f64::from(u32::try_from(n).unwrap_or(u32::MAX))
            }),
        }
    }
}

/// The workspaces of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Workspaces {
    by_key: HashMap<KeyDigest, Arc<Workspace>>,
    by_name: HashMap<WorkspaceName, Arc<Workspace>>,
}

impl Workspaces {
    /// Checks workspaces with the digests of their keys.
    ///
    /// # Errors
    /// Names the invalid workspace and the reason; never a key.
    pub fn new(
        listed: impl IntoIterator<Item = (Workspace, Vec<KeyDigest>)>,
    ) -> anyhow::Result<Self> {
        let mut all = Self::default();
        for (workspace, keys) in listed {
            let name = workspace.name.clone();
            ensure!(!name.is_empty(), "a workspace has no name");
            ensure!(
                is_header_text(&name),
                "workspace {name:?}: the name is not valid in a header"
            );
            if let Some(Allotment { rate_per_s, burst }) = workspace.allotment {
                let is_valid = |number: f64| number.is_finite() && number >= 0.0;
                ensure!(
                    is_valid(rate_per_s) && is_valid(burst),
                    "workspace {name}: invalid allotment of {rate_per_s} a second, burst {burst}"
                );
            }
            let workspace = Arc::new(workspace);
            for key in keys {
                let previous = all.by_key.insert(key, workspace.clone());
                if let Some(owner) = previous.filter(|owner| owner.name != name) {
                    anyhow::bail!("workspaces {} and {name} share a key", owner.name);
                }
            }
            let previous = all.by_name.insert(name.clone(), workspace);
            ensure!(
                previous.is_none(),
                "more than one workspace has the name {name}"
            );
        }
        Ok(all)
    }

    /// The workspace that owns a key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// The workspace with this name.
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Whether there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Whether any workspace has an allotment.
    pub fn has_allotments(&self) -> bool {
        let mut all = self.by_name.values();
        all.any(|workspace| workspace.allotment.is_some())
    }

    /// The number of keys of all workspaces.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}

/// Whether a text is valid as a header value without changes.
fn is_header_text(text: &str) -> bool {
    text.trim() == text && text.bytes().all(|byte| (0x20..0x7f).contains(&byte))
}
