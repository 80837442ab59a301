//! Named random streams and distributions of durations. Each part of a simulation draws from its own stream, so that a
//! change in one does not shift the draws of another. The generator is ChaCha8, which gives the same numbers on every
//! machine and in every version; nothing here reads a clock or the system's entropy.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};
use serde::Deserialize;

use crate::Nanos;
use crate::scenario::deserialize_duration;

pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// Returns the stream with this name for this seed.
    pub fn new(seed: u64, name: &str) -> RandomStream {
        // FNV-1a of the name, so that a stream does not depend on which other names exist.
        let hash = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(name.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, hash));
        RandomStream(rng)
    }

    /// Uniform in [0, 1).
    pub fn sample_fraction(&mut self) -> f64 {
        self.0.random()
    }

    /// Uniform over the integers below `number`; 0 if `number` is 0.
    pub fn sample_below(&mut self, number: usize) -> usize {
        self.0.random_range(0..number.max(1) as u64) as usize
    }

    pub fn sample_bool(&mut self, probability: f64) -> bool {
        self.sample_fraction() < probability
    }

    /// Time to the next arrival of a Poisson process with this rate; `None` at a rate of 0.
    pub fn sample_arrival_gap(&mut self, per_s: f64) -> Option<Nanos> {
        let gap: f64 = Exp1.sample(&mut self.0);
        let gap = gap / per_s * 1e9;
        (per_s > 0.0 && gap < 1e18).then_some(gap as Nanos)
    }
}

/// Distribution of a duration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum DurationDistribution {
    Fixed {
        #[serde(deserialize_with = "deserialize_duration")]
        mean: Nanos,
    },
    #[serde(rename = "even")]
    Uniform {
        #[serde(rename = "least", deserialize_with = "deserialize_duration")]
        min: Nanos,
        #[serde(rename = "most", deserialize_with = "deserialize_duration")]
        max: Nanos,
    },
    Exponential {
        #[serde(deserialize_with = "deserialize_duration")]
        mean: Nanos,
    },
    /// `sigma` is the standard deviation of the logarithm.
    LogNormal {
        #[serde(deserialize_with = "deserialize_duration")]
        mean: Nanos,
        sigma: f64,
    },
    /// Heavy tail with a shape above 1; a lower shape gives a heavier tail. Truncated at 1,000 times the mean.
    Pareto {
        #[serde(deserialize_with = "deserialize_duration")]
        mean: Nanos,
        #[serde(rename = "power")]
        shape: f64,
    },
}

impl DurationDistribution {
    pub fn sample(&self, random: &mut RandomStream) -> Nanos {
        let drawn = match self {
            DurationDistribution::Fixed { mean } => return *mean,
            DurationDistribution::Uniform { min, max } => {
                let (min, max) = (*min as f64, (*max).max(*min) as f64);
                min + random.sample_fraction() * (max - min)
            }
            DurationDistribution::Exponential { mean } => {
                let unit: f64 = Exp1.sample(&mut random.0);
                unit * *mean as f64
            }
            DurationDistribution::LogNormal { mean, sigma } => {
                let unit: f64 = StandardNormal.sample(&mut random.0);
                // Its mean is exp(mu + sigma^2 / 2).
                *mean as f64 * (sigma * unit - sigma * sigma / 2.0).exp()
            }
            DurationDistribution::Pareto { mean, shape } => {
                let min = *mean as f64 * (shape - 1.0) / shape;
                (min / (1.0 - random.sample_fraction()).powf(1.0 / shape)).min(1e3 * *mean as f64)
            }
        };
        drawn.max(0.0) as Nanos
    }

    pub fn mean(&self) -> f64 {
        match self {
            DurationDistribution::Uniform { min, max } => (*min as f64 + (*max).max(*min) as f64) / 2.0,
            DurationDistribution::Fixed { mean }
            | DurationDistribution::Exponential { mean }
            | DurationDistribution::LogNormal { mean, .. }
            | DurationDistribution::Pareto { mean, .. } => *mean as f64,
        }
    }

    /// Returns an error if the parameters allow no sampling.
    pub fn validate(&self) -> Result<(), String> {
        match self {
            DurationDistribution::Uniform { min, max } if min > max => {
                Err(format!("least {min} is over most {max}"))
            }
            DurationDistribution::LogNormal { sigma, .. } if !(sigma.is_finite() && *sigma >= 0.0) => {
                Err(format!("sigma {sigma} must be finite and at least 0"))
            }
            DurationDistribution::Pareto { shape, .. } if !(shape.is_finite() && *shape > 1.0) => {
                Err(format!("power {shape} must be finite and over 1, else there is no mean"))
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::MS;

    #[test]
    fn sample_means_match_the_configured_means() {
        let mean = 20 * MS;
        let spans = [
            DurationDistribution::Fixed { mean },
            DurationDistribution::Uniform { min: 0, max: 2 * mean },
            DurationDistribution::Exponential { mean },
            DurationDistribution::LogNormal { mean, sigma: 0.8 },
            DurationDistribution::Pareto { mean, shape: 2.8 },
        ];
        for span in spans {
            let mut random = RandomStream::new(1, "work");
            let sum: f64 = (0..400_000).map(|_| span.sample(&mut random) as f64).sum();
            let seen = sum / 400_000.0;
            assert!((seen / span.mean() - 1.0).abs() < 0.01, "{span:?}: {seen}");
            assert_eq!(span.validate(), Ok(()));
        }
        assert!(DurationDistribution::Pareto { mean, shape: 1.0 }.validate().is_err());
        assert!(DurationDistribution::LogNormal { mean, sigma: f64::NAN }.validate().is_err());
        assert!(DurationDistribution::Uniform { min: 2, max: 1 }.validate().is_err());
    }

    #[test]
    fn a_stream_depends_only_on_seed_and_name() {
        let draw = |seed, name| {
            let mut stream = RandomStream::new(seed, name);
            [stream.sample_below(1_000_000), stream.sample_below(1_000_000)]
        };
        // Fixed values: another generator, or another use of this one, would make old runs unrepeatable.
        assert_eq!([draw(7, "work"), draw(7, "net")], EXPECTED_DRAWS);
        assert_ne!(draw(7, "work"), draw(8, "work"));
        assert_ne!(draw(7, "work"), draw(7, "net"));
        let mut stream = RandomStream::new(1, "clients");
        assert_eq!(stream.sample_arrival_gap(0.0), None);
        let mean = (0..100_000).filter_map(|_| stream.sample_arrival_gap(50.0)).sum::<u64>() as f64 / 1e5;
        assert!((mean / 20e6 - 1.0).abs() < 0.01, "{mean}");
    }

    const EXPECTED_DRAWS: [[usize; 2]; 2] = [[826_351, 214_530], [221_226, 846_719]];
}
