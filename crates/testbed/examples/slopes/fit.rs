//! Least-squares fit of a line.

/// A fitted line.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Fit {
    /// Name of the fitted value.
    #[serde(rename = "fit")]
    pub value: &'static str,
    /// What the independent variable counts: `daemon` or `target`.
    pub per: &'static str,
    /// Growth of the value per daemon or target.
    pub slope: f64,
    /// Value at zero daemons or targets.
    pub intercept: f64,
}

impl Fit {
    /// Fits a line to points; the slope is 0 unless at least two points differ in x.
    pub fn new(
        value: &'static str,
        per: &'static str,
        points: impl IntoIterator<Item = (f64, f64)>,
    ) -> Self {
        let points: Vec<_> = points.into_iter().collect();
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        Self {
            value,
            per,
            slope,
            intercept: mean_y - slope * mean_x,
        }
    }
}
