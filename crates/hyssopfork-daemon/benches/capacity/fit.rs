//! Linear regression through measured points.

/// A line `base + slope * x`, by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at 0.
    pub base: f64,
    /// Increase for each unit of `x`.
    pub slope: f64,
    /// Root mean square of the points' distance from the line, in units of the value.
    pub residual: f64,
}

/// Fits a line to points.
pub fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let shared: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = shared / spread;
    let base = mean_y - slope * mean_x;
    let squares: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
    Line { base, slope, residual: (squares / count).sqrt() }
}
