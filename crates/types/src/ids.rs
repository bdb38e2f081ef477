//! Type aliases for ids.
//!
//! Names that operators choose are `Arc<str>`, cheap to clone on the request
//! path. Numbers that the system assigns are plain integers.

use std::sync::Arc;

/// A model or adapter in one version, written `name@version`.
pub type ModelName = Arc<str>;
/// An adapter of a model.
pub type AdapterName = Arc<str>;
/// An upstream (a model engine or a plain service replica), unique in the catalog.
pub type UpstreamId = Arc<str>;
/// A workspace of callers that owns a share of the pool.
pub type WorkspaceName = Arc<str>;
/// A plain service that stands beside the model engines.
pub type ServiceName = Arc<str>;
/// A machine that runs passway's programs.
pub type InstanceId = Arc<str>;
/// A data hall, the unit that fails together.
pub type DataHall = Arc<str>;
/// A region: data halls that laws or contracts take as one place.
pub type Region = Arc<str>;
/// A set of upstreams whose placements are decided together in one plan.
pub type CellName = Arc<str>;
/// A number drawn at the start of a process; it tells a restarted process from the old one.
pub type Incarnation = u64;
/// A term of leadership over one cell; it only grows.
pub type Epoch = u64;
/// A revision of the operators' configuration; it only grows.
pub type Revision = u64;
/// A placement within the plan of one cell; never used twice.
pub type PlacementId = u64;
/// A fencing number: the epoch in the upper half, the order within it in the lower.
pub type Fence = u64;
/// The id of one change of a plan, used to recognise a write whose answer was lost.
pub type ChangeId = u64;
/// The version of a value in the key-value service; 0 stands for "absent".
pub type Version = u64;
/// The number of a request within one router process.
pub type RequestId = u64;
