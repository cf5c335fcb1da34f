//! Least-squares fits of measured points.

use std::fmt;

/// A least-squares line `y = base + slope * x` with its largest residual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value at zero.
    pub base: f64,
    /// The increase per unit of `x`.
    pub slope: f64,
    /// The largest distance of a measured point from the line.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to points.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean =
            |value: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(&|point| point.0), mean(&|point| point.1));
        let sum_xx: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let base = y - slope * x;
        let distance = |point: &(f64, f64)| (point.1 - base - slope * point.0).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        Self { base, slope, residual }
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { base, slope, residual } = self;
        write!(f, "{base:.3} + {slope:.5} x, residual {residual:.3}")
    }
}
