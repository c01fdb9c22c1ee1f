//! What a run shows of itself while it goes on.

use crate::constants::*;
use crate::history::Believed;
use crate::shape;
use std::collections::BTreeMap;

/// Run times of one job's tasks: those that ended, and how long those ran that were stopped, killed or
/// lost (cut off: they would have run longer).
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Current {
    ended: u32,
    mean: f64,
    /// Sum of squared distances from the mean.
    squares: f64,
    cut: BTreeMap<i16, u32>,
}

/// Where the run times of a job lie: of its centre as a logarithm, and of its tasks around it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Centre {
    pub ln: f64,
    pub sd: f64,
    pub within: f64,
}

impl Centre {
    /// Seconds that a task takes in the mean, by the centre alone.
    pub fn mean_s(&self) -> f64 {
        (self.ln + self.within * self.within / 2.0).exp()
    }

    /// Seconds that a task which ran so long already goes on for, in the mean.
    pub fn rest_s(&self, ran_s: f64) -> f64 {
        let ran_s = ran_s.max(SHORTEST_S);
        let z = (ran_s.ln() - self.ln) / self.within;
        let longer = shape::above(z);
        if longer < 1e-9 {
            // Beyond all that was believed possible: as long again as it can be told.
            return ran_s * self.within;
        }
        (self.mean_s() * shape::above(z - self.within) / longer - ran_s).max(0.0)
    }
}

impl Current {
    /// A task ran this long to its end.
    pub fn ended(&mut self, run_s: f64) {
        let Some(ln) = shape::ln(run_s) else { return };
        self.ended = self.ended.saturating_add(1);
        let off = ln - self.mean;
        self.mean += off / f64::from(self.ended);
        self.squares += off * (ln - self.mean);
    }

    /// A task ran this long and was then stopped, killed or lost, or runs on.
    pub fn cut(&mut self, run_s: f64) {
        let Some(ln) = shape::ln(run_s) else { return };
        let count = self.cut.entry((ln / CUT_BIN).floor() as i16).or_default();
        *count = count.saturating_add(1);
    }

    /// Tasks that ended.
    pub fn count(&self) -> u32 {
        self.ended
    }

    /// The same with tasks that still run, by how long each has run, in seconds.
    pub fn with_running(&self, running: &[f64]) -> Current {
        let mut all = self.clone();
        running.iter().for_each(|run_s| all.cut(*run_s));
        all
    }

    /// Centre and scatter that make what was seen most probable: what ended, and what was cut off, which would
    /// have run longer. `belief`: a centre and its variance; `within`: the scatter as it is believed to be.
    fn fit(&self, start: f64, within: f64, belief: Option<(f64, f64)>) -> (f64, f64) {
        let ended = f64::from(self.ended);
        let (believed, precision) =
            belief.map_or((0.0, 0.0), |(ln, var)| (ln, 1.0 / var.max(1e-9)));
        let (mut ln, mut variance) = (start, within * within);
        for _ in 0..FIT_ROUNDS {
            let scatter = variance.sqrt();
            // Slope and curvature of the logarithm of the probability, and squares with what was cut off
            // filled in by what it would be expected to be.
            let mut slope = (self.mean - ln) * ended / variance + (believed - ln) * precision;
            let mut curve = ended / variance + precision;
            let off = self.mean - ln;
            let mut squares = self.squares + ended * off * off;
            let mut count = ended;
            for (bin, n) in &self.cut {
                let z = ((f64::from(*bin) + 0.5) * CUT_BIN - ln) / scatter;
                let n = f64::from(*n);
                let more = if z > -4.0 { shape::mean_above(z) } else { 0.0 };
                slope += n * more / scatter;
                curve += n * more * (more - z) / variance;
                squares += n * variance * (1.0 + z * more);
                count += n;
            }
            if curve <= 0.0 {
                return (start, within);
            }
            // No step beyond what the scatter can tell: the curve is only known here.
            ln += (slope / curve).clamp(-1.0, 1.0);
            variance = (WITHIN_WEIGHT * within * within + squares) / (WITHIN_WEIGHT + count);
            variance = variance.max(WITHIN_LEAST * WITHIN_LEAST);
        }
        (ln, variance.sqrt())
    }

    /// Where the centre is, given what is believed of it and what the run shows. Where the two clash the
    /// run is right: it may be a night of doubled inputs.
    pub fn centre(&self, believed: &Believed) -> Centre {
        let mut variance = believed.sd * believed.sd;
        if self.ended == 0 && self.cut.is_empty() {
            return Centre { ln: believed.ln, sd: believed.sd, within: believed.within };
        }
        if self.ended > 0 {
            let n = f64::from(self.ended);
            let (alone, within) = self.fit(self.mean, believed.within, None);
            let own = within * within / n;
            let off = alone - believed.ln;
            if off * off / (variance + own) > CONFLICT_ERRORS * CONFLICT_ERRORS {
                variance = variance.max(off * off - own);
            }
        }
        let (ln, within) = self.fit(believed.ln, believed.within, Some((believed.ln, variance)));
        let own = within * within;
        // What is still to be seen of a task that was cut off tells less than its end would.
        let cut = self.cut.iter().map(|(bin, n)| {
            let z = ((f64::from(*bin) + 0.5) * CUT_BIN - ln) / within;
            f64::from(*n) * shape::below(z) / 2.0
        });
        let weight = own / variance.max(1e-9) + f64::from(self.ended) + cut.sum::<f64>();
        Centre { ln, sd: (own / weight).sqrt(), within }
    }

    /// Centre, scatter and number of tasks as history will remember them; none if none ended.
    pub(crate) fn summary(&self, believed: Option<&Believed>) -> Option<(f64, f64, u32)> {
        if self.ended == 0 {
            return None;
        }
        let within = believed.map_or(WITHIN, |known| known.within);
        let (ln, within) = self.fit(self.mean, within, None);
        Some((ln, within, self.ended))
    }
}

#[cfg(test)]
mod tests;
