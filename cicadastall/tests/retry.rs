//! The retry budget: bounded amplification during an outage, and separate budgets per pool.

use cicadastall::{name::PoolName, retry::RetryBudget};

/// Maximum ratio of all attempts to first attempts that the users require.
const MAX_AMPLIFICATION: f64 = 1.1;

#[test]
fn retries_of_a_long_outage_stay_within_the_bound() {
    let pool = PoolName::from("verdicts");
    let mut budget = RetryBudget::default();
    let mut retries = 0_u32;
    let firsts = 10_000_u32;
    for _ in 0..firsts {
        budget.record_first_attempt(&pool);
        for _ in 0..3 {
            retries += u32::from(budget.take_retry(&pool));
        }
    }
    assert!(f64::from(firsts + retries) <= f64::from(firsts) * MAX_AMPLIFICATION, "{retries}");
    assert!(retries > 0);
    assert!(!budget.permits_retry(&pool));
}

#[test]
fn pools_have_budgets_of_their_own() {
    let mut budget = RetryBudget::default();
    while budget.take_retry(&PoolName::from("verdicts")) {}
    assert!(budget.permits_retry(&PoolName::from("registers")));
}
