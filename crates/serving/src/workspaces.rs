//! Workspaces: who may use closed routes, in which order, and how much.
//!
//! A configuration names them, each with its keys. A key is a secret: what is kept of it is a
//! digest, which is what requests are compared by, so that no log line, metric or `Debug` output
//! can show a key, and the time of a comparison tells nothing of one.

use crate::halls::AllowedRegions;
use anyhow::ensure;
use passway_types::hash::{DIGEST_BYTES, stable_digest};
use passway_types::prelude::*;
use std::collections::HashMap;
use std::fmt;

/// What is kept of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
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
    /// Units that may be used at once beyond that.
    pub burst: f64,
}

/// In what a workspace's use is counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CostUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens, in and out at most.
    Tokens {
        /// What a request counts that names no tokens.
        default_tokens: f64,
    },
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Its rank, which goes before that of routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What it may use; `None` for no limit.
    pub allotment: Option<Allotment>,
    /// What that is counted in.
    pub unit: CostUnit,
    /// The regions in which its requests may be served.
    pub allowed: AllowedRegions,
}

impl Workspace {
    /// What a request counts that names so many tokens.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            CostUnit::Requests => 1.0,
            // Beyond 32 bits it is more than any allotment; an exact count is not needed there.
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
    /// Names the workspace that cannot be used, and why; never a key.
    pub fn new(
        listed: impl IntoIterator<Item = (Workspace, Vec<KeyDigest>)>,
    ) -> anyhow::Result<Self> {
        let mut all = Self::default();
        for (workspace, keys) in listed {
            let name = workspace.name.clone();
            ensure!(!name.is_empty(), "a workspace without a name");
            ensure!(
                is_header_text(&name),
                "workspace {name:?}: the name cannot stand in a header"
            );
            if let Some(Allotment { rate_per_s, burst }) = workspace.allotment {
                let fits = |number: f64| number.is_finite() && number >= 0.0;
                ensure!(
                    fits(rate_per_s) && fits(burst),
                    "workspace {name}: an allotment of {rate_per_s} a second and {burst}"
                );
            }
            let workspace = Arc::new(workspace);
            for key in keys {
                let before = all.by_key.insert(key, workspace.clone());
                if let Some(other) = before.filter(|other| other.name != name) {
                    anyhow::bail!("workspaces {} and {name} share a key", other.name);
                }
            }
            let before = all.by_name.insert(name.clone(), workspace);
            ensure!(before.is_none(), "two workspaces {name}");
        }
        Ok(all)
    }

    /// The workspace that holds a key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// The workspace of a name.
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Whether any of them has one.
    pub fn has_allotments(&self) -> bool {
        let mut all = self.by_name.values();
        all.any(|workspace| workspace.allotment.is_some())
    }

    /// Keys of all workspaces.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}

/// Whether a text can be a header's value as it stands.
fn is_header_text(text: &str) -> bool {
    text.trim() == text && text.bytes().all(|byte| (0x20..0x7f).contains(&byte))
}
