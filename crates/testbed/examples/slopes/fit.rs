//! Least squares of one variable.

/// A fitted line.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Fit {
    /// Name of the measured value.
    #[serde(rename = "fit")]
    pub value: &'static str,
    /// What the slope is for.
    pub per: &'static str,
    /// Growth of the value for each.
    pub slope: f64,
    /// Value for none.
    pub intercept: f64,
}

impl Fit {
    /// Fits the line through points; the slope is 0 without two different positions.
    pub fn new(
        value: &'static str,
        per: &'static str,
        points: impl IntoIterator<Item = (f64, f64)>,
    ) -> Self {
        let points: Vec<_> = points.into_iter().collect();
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let common: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        Self {
            value,
            per,
            slope,
            intercept: mean_y - slope * mean_x,
        }
    }
}
