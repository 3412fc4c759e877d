//! The equal part of the engines' time.

use super::sums::TeamSums;

/// Part of a team that is guaranteed in relation to what it asks for, as a share of the served
/// share of all requests. The rule that it implements asks for a quarter; the rest is margin for
/// sums that lag behind the load.
const GUARANTEED_SHARE: f64 = 0.5;
/// Bisection steps, which determine the level to a millionth of the largest demand.
const BISECTION_STEPS: u32 = 20;

/// What teams may use of the engines' time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareLevel {
    /// Largest work of a team that uses no more than its equal part.
    level_ms: f64,
    /// Smallest share of a team's work that is part of its share.
    guaranteed_share: f64,
}

impl ShareLevel {
    /// Computes the level at which the teams, with the work that each has asked for, together use
    /// what was placed for all of them.
    pub fn new(asked_ms: &[f64], total: &TeamSums) -> Self {
        let served_share = match total.asked > 0.0 {
            true => (total.placed / total.asked).min(1.0),
            false => 1.0,
        };
        let mut lowest = Self {
            level_ms: 0.0,
            guaranteed_share: GUARANTEED_SHARE * served_share,
        };
        let mut highest = Self {
            level_ms: asked_ms.iter().copied().fold(0.0, f64::max),
            ..lowest
        };
        for _ in 0..BISECTION_STEPS {
            let middle = Self {
                level_ms: (lowest.level_ms + highest.level_ms) / 2.0,
                ..lowest
            };
            match middle.used_ms(asked_ms) < total.placed_ms {
                true => lowest = middle,
                false => highest = middle,
            }
        }
        highest
    }

    /// Returns the part of a team that has asked for the given work. A team may ask for less.
    pub fn part_ms(&self, asked_ms: f64) -> f64 {
        self.level_ms.max(self.guaranteed_share * asked_ms)
    }

    fn used_ms(&self, asked_ms: &[f64]) -> f64 {
        let parts = asked_ms.iter();
        parts
            .map(|asked_ms| self.part_ms(*asked_ms).min(*asked_ms))
            .sum()
    }
}
