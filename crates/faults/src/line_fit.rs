//! Linear regression and summaries of measurements.

/// A straight line fitted to points by the method of least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LineFit {
    /// The change in y per unit of x.
    pub slope: f64,
    /// The value of the line at x = 0.
    pub intercept: f64,
    /// The coefficient of determination: the share of the variance of y that the line explains.
    pub r_squared: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
}

impl LineFit {
    /// Fits a line to points, at least two of which must differ in x.
    pub fn from_points(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let spread_y: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        let products = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
        let slope = products.sum::<f64>() / spread_x;
        let intercept = mean_y - slope * mean_x;
        let residual: f64 = points
            .iter()
            .map(|p| (p.1 - intercept - slope * p.0).powi(2))
            .sum();
        let r_squared = match spread_y > 0.0 {
            true => 1.0 - residual / spread_y,
            false => 1.0,
        };
        let degrees_of_freedom = (count - 2.0).max(1.0);
        Self {
            slope,
            intercept,
            r_squared,
            slope_error: (residual / degrees_of_freedom / spread_x).sqrt(),
        }
    }

    /// Returns the value of the line at `x`.
    pub fn predict(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Returns the minimum, median and maximum of some values.
///
/// The median of an even number of values is the upper of the two middle ones.
///
/// # Panics
///
/// Panics if `values` is empty.
pub fn min_median_max(values: &[f64]) -> (f64, f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    (
        sorted[0],
        sorted[sorted.len() / 2],
        sorted[sorted.len() - 1],
    )
}
