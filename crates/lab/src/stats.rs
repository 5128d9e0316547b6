//! Statistics over repeated runs: means with confidence intervals, autocorrelation and regression slopes.

use serde::Serialize;

/// Quantiles of Student's t distribution at 97.5 %, for 1 to 30 degrees of freedom.
const T_QUANTILES: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
    2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
    2.045, 2.042,
];

/// Returns the quantile of Student's t distribution at 97.5 %: infinite without degrees of freedom, 1.96
/// beyond 30.
pub fn students_t(degrees: usize) -> f64 {
    if degrees == 0 { f64::INFINITY } else { T_QUANTILES.get(degrees - 1).copied().unwrap_or(1.96) }
}

/// A mean with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Mean {
    /// Number of values.
    pub n: usize,
    /// The mean.
    pub mean: f64,
    /// Half the width of the 95 % confidence interval; infinite for fewer than two values.
    pub half: f64,
}

/// Returns the mean of some values.
pub fn mean(figures: &[f64]) -> Mean {
    let n = figures.len();
    if n == 0 {
        return Mean { n, mean: f64::NAN, half: f64::INFINITY };
    }
    let mean = figures.iter().sum::<f64>() / n as f64;
    if n < 2 {
        return Mean { n, mean, half: f64::INFINITY };
    }
    let variance = figures.iter().map(|f| (f - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
    Mean { n, mean, half: students_t(n - 1) * (variance / n as f64).sqrt() }
}

/// Returns the mean of the pairwise differences `b - a`, in which what affects both values of a pair alike
/// cancels out.
pub fn paired(a: &[f64], b: &[f64]) -> Mean {
    mean(&a.iter().zip(b).map(|(a, b)| b - a).collect::<Vec<f64>>())
}

impl Mean {
    /// Returns true if the mean differs from zero with 95 % confidence.
    pub fn is_significant(&self) -> bool {
        self.mean.abs() > self.half
    }
}

/// Returns the autocorrelation of a series at a lag, from -1 to 1; 0 if the series is constant or too
/// short.
pub fn autocorrelation(series: &[f64], lag: usize) -> f64 {
    let n = series.len();
    if n < lag + 3 {
        return 0.0;
    }
    let mean = series.iter().sum::<f64>() / n as f64;
    let spread: f64 = series.iter().map(|v| (v - mean).powi(2)).sum();
    let covariance: f64 = series.iter().zip(&series[lag..]).map(|(a, b)| (a - mean) * (b - mean)).sum();
    if spread > 0.0 { covariance / spread } else { 0.0 }
}

/// Returns the slope of the least-squares line through some points. If both coordinates are logarithms,
/// this is the exponent of growth.
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let (mx, my) = points.iter().fold((0.0, 0.0), |s, p| (s.0 + p.0 / n, s.1 + p.1 / n));
    let (xy, xx) =
        points.iter().fold((0.0, 0.0), |s, p| (s.0 + (p.0 - mx) * (p.1 - my), s.1 + (p.0 - mx).powi(2)));
    if xx > 0.0 { xy / xx } else { f64::NAN }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn confidence_intervals_use_students_t() {
        let m = mean(&[1.0, 2.0, 3.0]);
        assert!((m.mean - 2.0).abs() < 1e-12);
        assert!((m.half - 4.303 / 3f64.sqrt()).abs() < 1e-9, "{}", m.half);
        assert!(mean(&[5.0]).half.is_infinite() && mean(&[]).mean.is_nan());
    }

    #[test]
    fn autocorrelation_shows_a_period_and_not_noise() {
        let periodic: Vec<f64> =
            (0..60).map(|n| (f64::from(n) * std::f64::consts::TAU / 6.0).sin()).collect();
        assert!(autocorrelation(&periodic, 6) > 0.8 && autocorrelation(&periodic, 3) < -0.8);
        let noise: Vec<f64> =
            (0..400_u64).map(|n| crate::plan::unit_interval(crate::plan::mix_bits(n + 1))).collect();
        assert!((1..20).all(|lag| autocorrelation(&noise, lag).abs() < 0.2));
        assert_eq!((autocorrelation(&[1.0; 30], 2), autocorrelation(&[1.0, 2.0], 2)), (0.0, 0.0));
    }

    #[test]
    fn the_slope_of_a_line_is_found() {
        let points: Vec<(f64, f64)> = (1..6).map(|n| (f64::from(n), 1.5 * f64::from(n) + 3.0)).collect();
        assert!((slope(&points) - 1.5).abs() < 1e-9 && slope(&points[..1]).is_nan());
    }

    #[test]
    fn paired_differences_cancel_common_variation() {
        let a = [0.5, 0.9, 0.7, 0.6];
        let b: Vec<f64> = a.iter().map(|v| v + 0.01).collect();
        assert!(paired(&a, &b).is_significant());
        assert!(!paired(&a, &[0.6, 0.8, 0.8, 0.5]).is_significant());
    }
}
