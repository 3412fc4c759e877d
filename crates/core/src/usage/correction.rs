//! Correction of a clock that differs from those of most daemons.

/// Largest difference that is not corrected: the differences include the delay of the messages.
const TOLERANCE_MS: i64 = 100;

/// Returns what is added to the time of day, given the differences of other daemons' clocks to it.
/// The own clock counts like each of the others, so that two daemons do not take over each other's
/// time; of two middle values the smaller difference is used.
pub fn clock_correction_ms(differences_ms: impl IntoIterator<Item = i64>) -> i64 {
    let mut sorted: Vec<i64> = differences_ms.into_iter().chain([0]).collect();
    sorted.sort_unstable();
    let upper = sorted[sorted.len() / 2];
    let lower = sorted[(sorted.len() - 1) / 2];
    let median = match lower.unsigned_abs() <= upper.unsigned_abs() {
        true => lower,
        false => upper,
    };
    match median.abs() > TOLERANCE_MS {
        true => median,
        false => 0,
    }
}
