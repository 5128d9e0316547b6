//! Slopes: how a cost grows with a size, as a power, as a bent power and as a line, and what that says of
//! a size that was not measured. It knows nothing of what is measured.
//!
//! Powers are fitted to the medians of each size in logarithms, so that every size counts alike. A cost
//! with a part that does not grow, such as memory, is a line rather: that is weighted by the value, for
//! the same reason.

use super::Series;
use crate::stats::students_t;
use serde::{Deserialize, Serialize};

/// A bend is believed where two pieces leave so much less of the squares that it is by chance in one of
/// 20 cases: F at 95 % for the two more figures that they have, by the degrees of freedom that are left
/// them, from 1.
const F: [f64; 8] = [199.5, 19.0, 9.55, 6.94, 5.79, 5.14, 4.74, 4.46];
/// And where the exponents differ by this much.
const CLEARLY_BENT: f64 = 0.25;
/// And where one piece is off by this much in the mean, in logarithms: less is noise.
const CLEARLY_OFF: f64 = 0.06;

/// What the points of one series say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Cost grows with the size to this power.
    pub exponent: f64,
    /// The exponent's interval at 95 %, by Student's t; none with fewer than three sizes.
    pub interval: Option<(f64, f64)>,
    /// Where the power changes, if it clearly does.
    pub bend: Option<Bend>,
    /// The line's value for each unit of the size.
    pub per_unit: f64,
    /// The line's value at size 0.
    pub constant: f64,
    /// Which of the three lies nearest: `power`, `bent` or `line`.
    pub nearest: Shape,
    /// How far the nearest is off in the mean, as a factor: 1.1 is 10 %.
    pub off: f64,
    /// Least and greatest size.
    pub sizes: (f64, f64),
    /// What is to be expected at the size ahead, where the axis has one.
    pub target: Option<Target>,
}

/// Which form of growth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// `a * size^b`.
    Power,
    /// Two powers that meet.
    Bent,
    /// `a + b * size`.
    Line,
}

/// Where one power turns into another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bend {
    /// The size.
    pub size: f64,
    /// The exponent below.
    pub before: f64,
    /// The exponent above.
    pub after: f64,
}

/// A figure at the size ahead.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// That size.
    pub size: f64,
    /// The cost there: the median where it was played, else by the nearest shape.
    pub value: f64,
    /// It was played and is no extrapolation.
    pub played: bool,
    /// How far beyond the greatest size measured, as a factor; at most 1: not beyond it.
    pub beyond: f64,
}

/// The median; NaN of nothing.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match (sorted.len(), sorted.len() / 2) {
        (0, _) => f64::NAN,
        (n, half) if n % 2 == 1 => sorted[half],
        (_, half) => f64::midpoint(sorted[half - 1], sorted[half]),
    }
}

/// Fits a series; none where fewer than two sizes have a cost over zero.
pub fn fit(series: &Series, target: Option<f64>) -> Option<Fit> {
    let points: Vec<(f64, f64)> = (series.points.iter())
        .map(|p| (p.size, median(&p.values)))
        .filter(|(x, y)| *x > 0.0 && y.is_finite() && *y > 0.0)
        .collect();
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let least = points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let most = points.iter().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    if points.len() < 2 || least >= most {
        return None;
    }
    let n = points.len() as f64;
    let one = Pieces::fit(&logs, None)?;
    let sxx = spread(&logs);
    let freedom = points.len() - 2;
    let interval = (freedom > 0).then(|| {
        let half = students_t(freedom) * (one.squares / freedom as f64 / sxx).sqrt();
        (one.slope - half, one.slope + half)
    });
    let bent = bent(&logs, &one);
    let (per_unit, constant) = line(&points);
    let line_at = |x: f64| constant + per_unit * x;
    // A cost that falls with the size is no line that could be drawn further.
    let rising = per_unit > 0.0;
    let line_squares: f64 =
        points.iter().map(|(x, y)| (line_at(*x).max(f64::MIN_POSITIVE) / y).ln().powi(2)).sum();
    // Of shapes that lie about equally near the plainest is taken.
    let mut nearest = (Shape::Power, one.squares);
    for (shape, squares) in [
        (Shape::Line, if rising { line_squares } else { f64::INFINITY }),
        (Shape::Bent, bent.map_or(f64::INFINITY, |b| b.squares)),
    ] {
        if squares < 0.8 * nearest.1 {
            nearest = (shape, squares);
        }
    }
    let at = |x: f64| match (nearest.0, bent) {
        (Shape::Line, _) => line_at(x),
        (Shape::Bent, Some(bent)) => bent.at(x.ln()).exp(),
        _ => one.at(x.ln()).exp(),
    };
    let target = target.map(|size| {
        let played = points.iter().find(|(x, _)| (x / size - 1.0).abs() < 1e-9);
        let value = played.map_or_else(|| at(size), |p| p.1);
        Target { size, value, played: played.is_some(), beyond: size / most }
    });
    Some(Fit {
        exponent: one.slope,
        interval,
        bend: bent
            .and_then(|b| Some(Bend { size: b.knot?.exp(), before: b.slope, after: b.slope + b.further })),
        per_unit,
        constant,
        nearest: nearest.0,
        off: (nearest.1 / n).sqrt().exp(),
        sizes: (least, most),
        target,
    })
}

/// One line, or two that meet at a knot.
#[derive(Clone, Copy, Debug)]
struct Pieces {
    base: f64,
    slope: f64,
    knot: Option<f64>,
    further: f64,
    squares: f64,
}

impl Pieces {
    fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x + self.knot.map_or(0.0, |k| self.further * (x - k).max(0.0))
    }

    /// Least squares; none where the points do not tell the pieces apart.
    fn fit(points: &[(f64, f64)], knot: Option<f64>) -> Option<Pieces> {
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
        let [base, slope, further] = solve(m, size)?;
        let mut own = Pieces { base, slope, knot, further, squares: 0.0 };
        own.squares = points.iter().map(|(x, y)| (y - own.at(*x)).powi(2)).sum();
        Some(own)
    }
}

/// Solves up to three equations, their right sides last.
fn solve(mut m: [[f64; 4]; 3], size: usize) -> Option<[f64; 3]> {
    for i in 0..size {
        let best = (i..size).max_by(|a, b| m[*a][i].abs().total_cmp(&m[*b][i].abs()))?;
        m.swap(i, best);
        if m[i][i].abs() < 1e-12 {
            return None;
        }
        let pivot = m[i];
        for row in m.iter_mut().take(size).skip(i + 1) {
            let part = row[i] / pivot[i];
            row.iter_mut().zip(pivot).for_each(|(v, p)| *v -= part * p);
        }
    }
    let mut out = [0.0; 3];
    for i in (0..size).rev() {
        let known: f64 = (i + 1..size).map(|j| m[i][j] * out[j]).sum();
        out[i] = (m[i][3] - known) / m[i][i];
    }
    Some(out)
}

/// The squares of the sizes about their mean.
fn spread(points: &[(f64, f64)]) -> f64 {
    let mean = points.iter().map(|p| p.0).sum::<f64>() / points.len() as f64;
    points.iter().map(|p| (p.0 - mean).powi(2)).sum()
}

/// Two pieces, where they are clearly better than the one. Each has to hold two sizes, and another at the
/// knot or beyond it.
fn bent(logs: &[(f64, f64)], one: &Pieces) -> Option<Pieces> {
    if logs.len() < 5 || (one.squares / logs.len() as f64).sqrt() < CLEARLY_OFF {
        return None;
    }
    let mut xs: Vec<f64> = logs.iter().map(|p| p.0).collect();
    xs.sort_by(f64::total_cmp);
    let (from, to) = (xs[1], xs[xs.len() - 2]);
    let knots = (0..=40).map(|n| from + (to - from) * f64::from(n) / 40.0);
    let fits = knots.filter_map(|k| Pieces::fit(logs, Some(k)));
    let best = fits.min_by(|a, b| a.squares.total_cmp(&b.squares))?;
    let freedom = logs.len() - 4;
    let chance = F.get(freedom - 1).copied().unwrap_or(4.0);
    let less = (one.squares - best.squares) / 2.0 > chance * best.squares / freedom as f64;
    (less && best.further.abs() > CLEARLY_BENT).then_some(best)
}

/// Slope and constant of a line, each point weighted by its value.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let sums = points.iter().fold([0.0; 5], |s, (x, y)| {
        let w = 1.0 / (y * y);
        [s[0] + w, s[1] + w * x, s[2] + w * y, s[3] + w * x * x, s[4] + w * x * y]
    });
    let [w, x, y, xx, xy] = sums;
    let below = w * xx - x * x;
    if below <= 0.0 {
        return (0.0, y / w);
    }
    let slope = (w * xy - x * y) / below;
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
    fn a_power_a_line_and_a_bend_are_told_apart() {
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
    fn nothing_is_made_of_too_little() {
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
