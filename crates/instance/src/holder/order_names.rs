//! Names of the answers to orders.

use passway_serving::ports::OrderAnswer;

/// The label of an answer in metrics.
pub(super) fn name_of(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Taken => "taken",
        OrderAnswer::Done => "done",
        OrderAnswer::Conflict => "conflict",
        OrderAnswer::Refused => "refused",
        OrderAnswer::OtherIncarnation => "other incarnation",
        OrderAnswer::NotSent => "not sent",
        OrderAnswer::Lost => "lost",
    }
}
