//! Rendezvous hashing: the same choice at every process, with few changes when a host is added or
//! removed.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Score of a name under a seed; the highest score wins.
///
/// FNV-1a with a mixing step, as the standard library's hashers may change between releases.
pub(crate) fn score(seed: u64, name: impl AsRef<str>) -> u64 {
    let bytes = seed.to_le_bytes().into_iter().chain(name.as_ref().bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// A score as a number between 0 and 1, without either.
pub(crate) fn uniform(score: u64) -> f64 {
    let upper = u32::try_from(score >> 32).unwrap_or(u32::MAX);
    (f64::from(upper) + 0.5) / (f64::from(u32::MAX) + 1.0)
}

/// Rank of a weighted choice by a score; the highest one wins, with a chance proportional to its
/// weight.
pub(crate) fn weighted(score: u64, weight: f64) -> f64 {
    -weight / uniform(score).ln()
}

/// The finalizer of `SplitMix64`; plain FNV-1a orders similar names alike under every seed.
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
