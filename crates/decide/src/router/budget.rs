//! How many retries may be added to the traffic.

/// Retries earned by each started request, in hundredths.
const EARNED_HUNDREDTHS: u32 = 9;
/// What one retry costs, in hundredths.
const COST_HUNDREDTHS: u32 = 100;
/// Retries that may be saved up, in hundredths.
const MOST_HUNDREDTHS: u32 = 20 * COST_HUNDREDTHS;
/// Retries that a new router may make before any traffic, in hundredths.
const FIRST_HUNDREDTHS: u32 = 10 * COST_HUNDREDTHS;

/// A budget of 9 retries for 100 started attempts, with a small reserve.
#[derive(Debug)]
pub struct RetryBudget {
    saved_hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved_hundredths: FIRST_HUNDREDTHS,
        }
    }
}

impl RetryBudget {
    /// A request was started.
    pub fn started(&mut self) {
        self.saved_hundredths = (self.saved_hundredths + EARNED_HUNDREDTHS).min(MOST_HUNDREDTHS);
    }

    /// Takes one retry out of the budget; false if it is spent.
    pub fn take(&mut self) -> bool {
        let enough = self.saved_hundredths >= COST_HUNDREDTHS;
        if enough {
            self.saved_hundredths -= COST_HUNDREDTHS;
        }
        enough
    }
}
