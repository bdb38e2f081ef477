//! Process set-up shared by passway's programs.
//!
//! * [`logging`]: one structured line an event, through `log` and `fern`.
//! * [`dial`]: a connection to a peer that is made again whenever it breaks.
//! * [`outbox`]: sending to a peer without ever blocking the sender.
//! * [`signals`]: termination signals as a channel.

pub mod dial;
pub mod logging;
pub mod outbox;
pub mod signals;

use passway_types::ids::Incarnation;

/// Bits of an incarnation; small enough to be shifted into a change id.
const INCARNATION_BITS: u32 = 40;

/// Draws the number that tells this process from any other.
pub fn draw_incarnation() -> Incarnation {
    // 0 is left out: it stands for "unknown" on the wire.
    rand::random_range(1..1_u64 << INCARNATION_BITS)
}
