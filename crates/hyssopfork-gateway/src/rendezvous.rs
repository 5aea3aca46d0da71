//! Rendezvous hashing: an order of the entries for each key, the same at every entry.
//!
//! An entry that joins or leaves changes only its own ranks, so that entries whose views differ by
//! one entry agree on all others.

use std::net;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Weight of the entry for the key. It must be the same in every release, since entries of two
/// releases serve together during an upgrade.
pub fn weight(entry: net::SocketAddr, key: &[u8]) -> u64 {
    let host = match entry.ip() {
        net::IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        net::IpAddr::V6(ip) => ip.octets(),
    };
    let port = entry.port().to_be_bytes();
    let bytes = host.iter().chain(&port).chain(key);
    let hash =
        bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    mix(hash)
}

/// Rank of the entry among all entries for the key; 0 is the first.
pub fn rank<'a>(
    entry: net::SocketAddr,
    entries: impl IntoIterator<Item = &'a net::SocketAddr>,
    key: &[u8],
) -> usize {
    let own = (weight(entry, key), entry);
    let others = entries.into_iter().filter(|other| **other != entry);
    others.filter(|other| (weight(**other, key), **other) > own).count()
}

/// First entry for the key, whose rank is 0; `None` without entries.
pub fn first<'a>(
    entries: impl IntoIterator<Item = &'a net::SocketAddr>,
    key: &[u8],
) -> Option<net::SocketAddr> {
    entries.into_iter().copied().max_by_key(|entry| (weight(*entry, key), *entry))
}

/// Mixes all bits of the hash: the upper bits of FNV are similar for inputs with a common end.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
