//! Deterministic random numbers for the random histories.

/// A linear congruential generator, which gives the same numbers on every machine.
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// Returns a random element of `among`.
    pub fn pick<T: Clone>(&mut self, among: &[T]) -> T {
        among[self.below(among.len() as u64) as usize].clone()
    }
}
