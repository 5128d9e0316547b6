//! Fits how a cost grows with a size: as a power, as two powers joined at a bend, and as a line. The fit
//! with the smallest error estimates the cost at sizes that were not measured.
//!
//! Powers are fitted by least squares to the logarithms of each size's median, which gives all sizes equal
//! weight. A cost with a constant part, such as memory, is closer to a line; its points are weighted by the
//! inverse square of the value for the same reason.

use super::Series;
use crate::stats::students_t;
use serde::{Deserialize, Serialize};

/// Critical values of the F distribution at 95 % for two additional parameters, by the residual degrees of
/// freedom of the bent fit, starting at 1. A bend is accepted only if its F statistic exceeds this value.
const F_CRITICAL_95: [f64; 8] = [199.5, 19.0, 9.55, 6.94, 5.79, 5.14, 4.74, 4.46];
/// Minimum difference between the two exponents of an accepted bend.
const MIN_EXPONENT_CHANGE: f64 = 0.25;
/// Minimum root mean square residual of a single power, in natural logarithms, for a bend to be considered.
/// Smaller residuals are noise.
const MIN_MEAN_RESIDUAL: f64 = 0.06;

/// The fitted growth of one series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Exponent of the single power fitted to all sizes.
    pub exponent: f64,
    /// 95 % confidence interval of the exponent, by Student's t; `None` with fewer than three sizes.
    pub interval: Option<(f64, f64)>,
    /// The size at which the exponent changes; `None` if no bend is significant.
    pub bend: Option<Bend>,
    /// Slope of the line: cost for each unit of the size.
    pub per_unit: f64,
    /// Intercept of the line: cost at size 0.
    pub constant: f64,
    /// The shape with the smallest error: `power`, `bent` or `line`.
    pub nearest: Shape,
    /// Root mean square error of the nearest shape, as a factor: 1.1 is 10 %.
    pub off: f64,
    /// Smallest and largest measured size.
    pub sizes: (f64, f64),
    /// Estimate at the planned size; `None` if the axis has no planned size.
    pub target: Option<Target>,
}

/// Form of growth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// `a * size^b`.
    Power,
    /// Two powers with equal values at the bend.
    Bent,
    /// `a + b * size`.
    Line,
}

/// Size at which one power changes into another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bend {
    /// Size at the bend.
    pub size: f64,
    /// Exponent below that size.
    pub before: f64,
    /// Exponent above that size.
    pub after: f64,
}

/// Cost at the planned size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Planned size.
    pub size: f64,
    /// Cost at that size: the measured median, or the value of the nearest shape if the size was not
    /// measured.
    pub value: f64,
    /// True if that size was measured.
    pub played: bool,
    /// The planned size divided by the largest measured size; above 1 the value is extrapolated.
    pub beyond: f64,
}

/// Returns the median, or NaN for an empty slice.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match (sorted.len(), sorted.len() / 2) {
        (0, _) => f64::NAN,
        (n, half) if n % 2 == 1 => sorted[half],
        (_, half) => f64::midpoint(sorted[half - 1], sorted[half]),
    }
}

/// Fits the medians of a series and estimates the cost at the size `target`. Returns `None` if fewer than
/// two sizes have a cost above zero.
pub fn fit(series: &Series, target: Option<f64>) -> Option<Fit> {
    let points: Vec<(f64, f64)> = (series.points.iter())
        .map(|p| (p.size, median(&p.values)))
        .filter(|(x, y)| *x > 0.0 && y.is_finite() && *y > 0.0)
        .collect();
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let min_size = points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let max_size = points.iter().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    if points.len() < 2 || min_size >= max_size {
        return None;
    }
    let n = points.len() as f64;
    let power = PiecewiseLine::fit(&logs, None)?;
    let size_deviations = squared_deviations(&logs);
    let degrees_of_freedom = points.len() - 2;
    let interval = (degrees_of_freedom > 0).then(|| {
        let half_width = students_t(degrees_of_freedom)
            * (power.residual_sum / degrees_of_freedom as f64 / size_deviations).sqrt();
        (power.slope - half_width, power.slope + half_width)
    });
    let bent = fit_bend(&logs, &power);
    let (per_unit, constant) = fit_line(&points);
    let line_at = |x: f64| constant + per_unit * x;
    // A falling line reaches negative costs and cannot be extrapolated.
    let is_rising = per_unit > 0.0;
    let line_residual_sum: f64 =
        points.iter().map(|(x, y)| (line_at(*x).max(f64::MIN_POSITIVE) / y).ln().powi(2)).sum();
    // A shape replaces a simpler one only if its residual sum is more than 20 % smaller.
    let mut nearest = (Shape::Power, power.residual_sum);
    for (shape, residual_sum) in [
        (Shape::Line, if is_rising { line_residual_sum } else { f64::INFINITY }),
        (Shape::Bent, bent.map_or(f64::INFINITY, |b| b.residual_sum)),
    ] {
        if residual_sum < 0.8 * nearest.1 {
            nearest = (shape, residual_sum);
        }
    }
    let at = |x: f64| match (nearest.0, bent) {
        (Shape::Line, _) => line_at(x),
        (Shape::Bent, Some(bent)) => bent.at(x.ln()).exp(),
        _ => power.at(x.ln()).exp(),
    };
    let target = target.map(|size| {
        let measured = points.iter().find(|(x, _)| (x / size - 1.0).abs() < 1e-9);
        let value = measured.map_or_else(|| at(size), |p| p.1);
        Target { size, value, played: measured.is_some(), beyond: size / max_size }
    });
    Some(Fit {
        exponent: power.slope,
        interval,
        bend: bent.and_then(|b| {
            Some(Bend { size: b.knot?.exp(), before: b.slope, after: b.slope + b.slope_change })
        }),
        per_unit,
        constant,
        nearest: nearest.0,
        off: (nearest.1 / n).sqrt().exp(),
        sizes: (min_size, max_size),
        target,
    })
}

/// One line, or two lines that meet at a knot.
#[derive(Clone, Copy, Debug)]
struct PiecewiseLine {
    intercept: f64,
    /// Slope below the knot.
    slope: f64,
    knot: Option<f64>,
    /// Slope above the knot less the slope below.
    slope_change: f64,
    /// Sum of squared residuals.
    residual_sum: f64,
}

impl PiecewiseLine {
    fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x + self.knot.map_or(0.0, |k| self.slope_change * (x - k).max(0.0))
    }

    /// Fits the points by least squares. Returns `None` if they do not determine all parameters.
    fn fit(points: &[(f64, f64)], knot: Option<f64>) -> Option<PiecewiseLine> {
        let row = |x: f64| [1.0, x, knot.map_or(0.0, |k| (x - k).max(0.0))];
        let size = if knot.is_some() { 3 } else { 2 };
        let mut m = [[0.0; 4]; 3];
        for (x, y) in points {
            let r = row(*x);
            for i in 0..size {
                for j in 0..size {
                    m[i][j] += r[i] * r[j];
                }
                m[i][3] += r[i] * y;
            }
        }
        let [intercept, slope, slope_change] = solve(m, size)?;
        let mut fitted = PiecewiseLine { intercept, slope, knot, slope_change, residual_sum: 0.0 };
        fitted.residual_sum = points.iter().map(|(x, y)| (y - fitted.at(*x)).powi(2)).sum();
        Some(fitted)
    }
}

/// Solves `size` linear equations by Gaussian elimination; the last column of `m` is the right side.
/// Returns `None` if the matrix is singular.
fn solve(mut m: [[f64; 4]; 3], size: usize) -> Option<[f64; 3]> {
    for i in 0..size {
        let pivot_row = (i..size).max_by(|a, b| m[*a][i].abs().total_cmp(&m[*b][i].abs()))?;
        m.swap(i, pivot_row);
        if m[i][i].abs() < 1e-12 {
            return None;
        }
        let pivot = m[i];
        for row in m.iter_mut().take(size).skip(i + 1) {
            let factor = row[i] / pivot[i];
            row.iter_mut().zip(pivot).for_each(|(v, p)| *v -= factor * p);
        }
    }
    let mut solution = [0.0; 3];
    for i in (0..size).rev() {
        let known: f64 = (i + 1..size).map(|j| m[i][j] * solution[j]).sum();
        solution[i] = (m[i][3] - known) / m[i][i];
    }
    Some(solution)
}

/// Returns the sum of squared deviations of the x values from their mean.
fn squared_deviations(points: &[(f64, f64)]) -> f64 {
    let mean = points.iter().map(|p| p.0).sum::<f64>() / points.len() as f64;
    points.iter().map(|p| (p.0 - mean).powi(2)).sum()
}

/// Fits two lines that meet at a knot, and returns them if they are significantly better than the line
/// `power`. The knot lies between the second smallest and the second largest size:
/// each line covers at least two sizes.
fn fit_bend(logs: &[(f64, f64)], power: &PiecewiseLine) -> Option<PiecewiseLine> {
    if logs.len() < 5 || (power.residual_sum / logs.len() as f64).sqrt() < MIN_MEAN_RESIDUAL {
        return None;
    }
    let mut xs: Vec<f64> = logs.iter().map(|p| p.0).collect();
    xs.sort_by(f64::total_cmp);
    let (first_knot, last_knot) = (xs[1], xs[xs.len() - 2]);
    let knots = (0..=40).map(|n| first_knot + (last_knot - first_knot) * f64::from(n) / 40.0);
    let fits = knots.filter_map(|k| PiecewiseLine::fit(logs, Some(k)));
    let best = fits.min_by(|a, b| a.residual_sum.total_cmp(&b.residual_sum))?;
    let degrees_of_freedom = logs.len() - 4;
    let critical_value = F_CRITICAL_95.get(degrees_of_freedom - 1).copied().unwrap_or(4.0);
    let is_significant = (power.residual_sum - best.residual_sum) / 2.0
        > critical_value * best.residual_sum / degrees_of_freedom as f64;
    (is_significant && best.slope_change.abs() > MIN_EXPONENT_CHANGE).then_some(best)
}

/// Returns the slope and the intercept of a line, each point weighted by the inverse square of its value.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let sums = points.iter().fold([0.0; 5], |s, (x, y)| {
        let w = 1.0 / (y * y);
        [s[0] + w, s[1] + w * x, s[2] + w * y, s[3] + w * x * x, s[4] + w * x * y]
    });
    let [w, x, y, xx, xy] = sums;
    let denominator = w * xx - x * x;
    if denominator <= 0.0 {
        return (0.0, y / w);
    }
    let slope = (w * xy - x * y) / denominator;
    (slope, (y - slope * x) / w)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::capacity::Point;

    fn series(cost: impl Fn(f64) -> f64) -> Series {
        let points = [100.0, 300.0, 1000.0, 3000.0, 10_000.0, 47_000.0]
            .map(|size| Point { size, values: [0.99, 1.0, 1.02].map(|f| f * cost(size)).into() });
        let (role, cost, unit, axis) = ("node", "c", "us", "backends");
        let [role, cost, unit, axis] = [role, cost, unit, axis].map(str::to_owned);
        Series { role, cost, unit, axis, points: points.into() }
    }

    #[test]
    fn fit_distinguishes_a_power_a_line_and_a_bend() {
        let power = fit(&series(|n| 3.0 * n.powf(1.3)), Some(470_000.0)).unwrap();
        let (low, high) = power.interval.unwrap();
        assert!(
            (power.exponent - 1.3).abs() < 1e-9 && low <= 1.3 + 1e-9 && high >= 1.3 - 1e-9,
            "{power:?}"
        );
        assert_eq!((power.nearest, power.bend), (Shape::Power, None));
        let target = power.target.unwrap();
        assert!((target.value / (3.0 * 470_000f64.powf(1.3)) - 1.0).abs() < 1e-6 && !target.played);
        assert!((target.beyond - 10.0).abs() < 1e-9);

        let line = fit(&series(|n| 5.0 + 0.001 * n), Some(47_000.0)).unwrap();
        assert!((line.per_unit - 0.001).abs() < 1e-9 && (line.constant - 5.0).abs() < 1e-6, "{line:?}");
        assert_eq!(line.nearest, Shape::Line);
        assert!(line.target.unwrap().played && (line.target.unwrap().value - 52.0).abs() < 1e-9);

        let bent = fit(&series(|n| n * (n / 3000.0).max(1.0)), None).unwrap();
        let bend = bent.bend.unwrap();
        assert!((bend.size / 3000.0).ln().abs() < 0.2, "{bend:?}");
        assert!((bend.before - 1.0).abs() < 0.05 && (bend.after - 2.0).abs() < 0.05, "{bend:?}");
    }

    #[test]
    fn too_few_points_give_no_interval_or_no_fit() {
        let mut few = series(|n| n);
        few.points.truncate(2);
        assert_eq!(fit(&few, None).unwrap().interval, None);
        few.points.truncate(1);
        assert_eq!(fit(&few, None), None);
        assert_eq!(fit(&series(|_| 0.0), None), None);
        assert!(median(&[]).is_nan());
        assert!((median(&[4.0, 1.0, 2.0, 3.0]) - 2.5).abs() < 1e-12);
    }
}
