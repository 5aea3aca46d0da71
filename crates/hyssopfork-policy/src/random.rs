//! Derived random numbers: one random number from the application gives as many as a decision
//! needs.

/// A well-mixed number from `seed` and `salt` (the finalizer of SplitMix64).
pub const fn mix(seed: u64, salt: u64) -> u64 {
    let mut value = seed ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// `number` as a fraction in `[0, 1)`.
pub fn fraction(number: u64) -> f64 {
    (number >> 11) as f64 / (1u64 << 53) as f64
}

/// An index below `length` from `number`; `length` is at least 1.
pub fn index(number: u64, length: usize) -> usize {
    ((u128::from(number) * length as u128) >> 64) as usize
}
