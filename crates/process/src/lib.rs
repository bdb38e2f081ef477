//! Process setup shared by passway's programs.
//!
//! * [`arrival_time`]: when received bytes had arrived at a socket.
//! * [`logging`]: one structured line per event, through `log` and `fern`.
//! * [`dial`]: a connection to a peer that reconnects automatically.
//! * [`outbox`]: sending to a peer without blocking the sender.
//! * [`queue`]: reading of a queue to which other threads add all the time.
//! * [`signals`]: signals of the operating system as a channel.

pub mod arrival_time;
pub mod dial;
pub mod logging;
pub mod outbox;
pub mod queue;
pub mod signals;

use passway_types::ids::Incarnation;

/// Bits of an incarnation; few enough that an incarnation can be shifted into a change id.
const INCARNATION_BITS: u32 = 40;

/// Draws a random number that identifies this process.
pub fn draw_incarnation() -> Incarnation {
    // 0 is excluded because it means "unknown" in messages.
    rand::random_range(1..1_u64 << INCARNATION_BITS)
}
