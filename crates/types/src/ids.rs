//! Type aliases for identifiers.
//!
//! Names that operators choose are `Arc<str>`, which is cheap to clone on the request path.
//! Numbers that the system assigns are plain integers.

use std::sync::Arc;

/// A version of a model or adapter, written `name@version`.
pub type ModelName = Arc<str>;
/// The name of an adapter of a model.
pub type AdapterName = Arc<str>;
/// The id of an upstream (a model engine or a replica of a plain service), unique in the catalog.
pub type UpstreamId = Arc<str>;
/// The name of a workspace (a tenant) that owns a share of the pool.
pub type WorkspaceName = Arc<str>;
/// The name of a plain service, which is served next to the model engines.
pub type ServiceName = Arc<str>;
/// The id of an instance, a machine that runs passway's programs.
pub type InstanceId = Arc<str>;
/// The name of a data hall, whose machines fail together (a failure domain).
pub type DataHall = Arc<str>;
/// The name of a region: the data halls that count as one location in laws or contracts.
pub type Region = Arc<str>;
/// The name of a cell, a set of upstreams whose placements are decided in one plan.
pub type CellName = Arc<str>;
/// A random number drawn at the start of a process; it differs after each restart.
pub type Incarnation = u64;
/// A term of leadership over one cell; increases with each term.
pub type Epoch = u64;
/// A revision of the operators' configuration; increases with each accepted change.
pub type Revision = u64;
/// The id of a placement within the plan of one cell; never reused.
pub type PlacementId = u64;
/// A fencing number: the upper half is the epoch, the lower half numbers the orders of the epoch.
pub type Fence = u64;
/// The id of one change of a plan; identifies the change if the answer to its write was lost.
pub type ChangeId = u64;
/// The version of a value in the key-value service; 0 means that the value is absent.
pub type Version = u64;
/// The number of a request, unique within one router process.
pub type RequestId = u64;
