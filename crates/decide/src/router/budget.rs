//! How many retries may be added to the traffic.

/// Retries earned by each started request, in hundredths.
const EARNED_PER_ATTEMPT_HUNDREDTHS: u32 = 9;
/// What one retry costs, in hundredths.
const COST_HUNDREDTHS: u32 = 100;
/// Retries that may be saved up, in hundredths.
const MAX_SAVED_HUNDREDTHS: u32 = 20 * COST_HUNDREDTHS;
/// Retries that a new router may make before any traffic, in hundredths.
const INITIAL_HUNDREDTHS: u32 = 10 * COST_HUNDREDTHS;

/// A budget of 9 retries for 100 started attempts, with a small reserve.
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
    /// A request was started.
    pub fn earn(&mut self) {
        self.saved_hundredths =
            (self.saved_hundredths + EARNED_PER_ATTEMPT_HUNDREDTHS).min(MAX_SAVED_HUNDREDTHS);
    }

    /// Takes one retry out of the budget; false if it is spent.
    pub fn try_take(&mut self) -> bool {
        let is_available = self.saved_hundredths >= COST_HUNDREDTHS;
        if is_available {
            self.saved_hundredths -= COST_HUNDREDTHS;
        }
        is_available
    }
}
