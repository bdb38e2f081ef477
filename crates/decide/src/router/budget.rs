//! The retry budget, which limits the retries added to the traffic.

/// Hundredths of a retry earned per started attempt.
const EARNED_PER_ATTEMPT_HUNDREDTHS: u32 = 9;
/// Hundredths that one retry costs.
const COST_HUNDREDTHS: u32 = 100;
/// Maximum saved budget, in hundredths of a retry.
const MAX_SAVED_HUNDREDTHS: u32 = 20 * COST_HUNDREDTHS;
/// Budget of a new router before any traffic, in hundredths of a retry.
const INITIAL_HUNDREDTHS: u32 = 10 * COST_HUNDREDTHS;

/// A budget of 9 retries per 100 started attempts, with a small reserve.
#[derive(Debug)]
pub struct RetryBudget {
    saved_hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved_hundredths: INITIAL_HUNDREDTHS,
        }
    }
}

impl RetryBudget {
    /// Adds what a started attempt earns.
    pub fn earn(&mut self) {
        self.saved_hundredths =
            (self.saved_hundredths + EARNED_PER_ATTEMPT_HUNDREDTHS).min(MAX_SAVED_HUNDREDTHS);
    }

    /// Takes one retry out of the budget. Returns false if the budget is spent.
    pub fn try_take(&mut self) -> bool {
        let is_available = self.saved_hundredths >= COST_HUNDREDTHS;
        if is_available {
            self.saved_hundredths -= COST_HUNDREDTHS;
        }
        is_available
    }
}
