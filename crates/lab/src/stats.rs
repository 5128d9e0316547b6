//! Means with intervals, and agreement of orders: what a few plays of a day say, and what they do not.

use serde::Serialize;

/// Student's t at 97.5 %, by degrees of freedom from 1; beyond the table 1.96.
const T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
    2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
    2.045, 2.042,
];

/// Student's t at 97.5 % with so many degrees of freedom; infinite with none.
pub fn students_t(freedom: usize) -> f64 {
    if freedom == 0 { f64::INFINITY } else { T.get(freedom - 1).copied().unwrap_or(1.96) }
}

/// A mean with its interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Mean {
    /// How many figures it is of.
    pub n: usize,
    /// The mean.
    pub mean: f64,
    /// Half the width of its interval at 95 %; infinite for fewer than two figures.
    pub half: f64,
}

/// The mean of some figures.
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

/// The mean of what `b` has more than `a`, pair by pair: what moved both alike cancels.
pub fn paired(a: &[f64], b: &[f64]) -> Mean {
    mean(&a.iter().zip(b).map(|(a, b)| b - a).collect::<Vec<f64>>())
}

impl Mean {
    /// It is not zero, as far as these figures tell.
    pub fn is_significant(&self) -> bool {
        self.mean.abs() > self.half
    }
}

/// How alike a series is to itself so many steps later, from -1 to 1; 0 where it does not vary or is too short.
pub fn autocorrelation(series: &[f64], lag: usize) -> f64 {
    let n = series.len();
    if n < lag + 3 {
        return 0.0;
    }
    let mean = series.iter().sum::<f64>() / n as f64;
    let spread: f64 = series.iter().map(|v| (v - mean).powi(2)).sum();
    let with: f64 = series.iter().zip(&series[lag..]).map(|(a, b)| (a - mean) * (b - mean)).sum();
    if spread > 0.0 { with / spread } else { 0.0 }
}

/// The slope of a line through points, by least squares: the exponent of growth where both are logarithms.
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
    fn an_interval_is_students() {
        let m = mean(&[1.0, 2.0, 3.0]);
        assert!((m.mean - 2.0).abs() < 1e-12);
        assert!((m.half - 4.303 / 3f64.sqrt()).abs() < 1e-9, "{}", m.half);
        assert!(mean(&[5.0]).half.is_infinite() && mean(&[]).mean.is_nan());
    }

    #[test]
    fn a_swing_shows_at_its_period_and_noise_does_not() {
        let swing: Vec<f64> = (0..60).map(|n| (f64::from(n) * std::f64::consts::TAU / 6.0).sin()).collect();
        assert!(autocorrelation(&swing, 6) > 0.8 && autocorrelation(&swing, 3) < -0.8);
        let noise: Vec<f64> =
            (0..400_u64).map(|n| crate::plan::unit_interval(crate::plan::mix_bits(n + 1))).collect();
        assert!((1..20).all(|lag| autocorrelation(&noise, lag).abs() < 0.2));
        assert_eq!((autocorrelation(&[1.0; 30], 2), autocorrelation(&[1.0, 2.0], 2)), (0.0, 0.0));
    }

    #[test]
    fn an_exponent_is_found_in_logarithms() {
        let points: Vec<(f64, f64)> = (1..6).map(|n| (f64::from(n), 1.5 * f64::from(n) + 3.0)).collect();
        assert!((slope(&points) - 1.5).abs() < 1e-9 && slope(&points[..1]).is_nan());
    }

    #[test]
    fn what_moves_both_alike_cancels_in_pairs() {
        let a = [0.5, 0.9, 0.7, 0.6];
        let b: Vec<f64> = a.iter().map(|v| v + 0.01).collect();
        assert!(paired(&a, &b).is_significant());
        assert!(!paired(&a, &[0.6, 0.8, 0.8, 0.5]).is_significant());
    }
}
