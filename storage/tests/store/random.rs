//! Reproducible random numbers.

/// A xorshift generator.
pub struct SeededRandom(u64);

impl SeededRandom {
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    /// True with a probability of one in `cases`.
    pub fn one_in(&mut self, cases: u64) -> bool {
        self.below(cases) == 0
    }
}
