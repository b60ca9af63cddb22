//! Rendezvous hashing. For a given key, every process ranks the same names in the
//! same order without communication. Removing a name moves only the keys that were
//! assigned to it.

/// Ranks names by their weight for `key`, highest first, and returns the first
/// `count` of them.
pub fn choose<'a>(
    key: &str,
    names: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = names.into_iter().collect();
    // Breaks ties by name, so that all processes agree on the order.
    ranked.sort_by_cached_key(|name| (std::cmp::Reverse(weight(key, name)), *name));
    ranked.dedup();
    ranked.truncate(count);
    ranked
}

/// Returns the weight of a name for a key.
///
/// The hash is FNV-1a with the SplitMix64 finaliser. It is implemented here because
/// the hashers of the standard library may change between releases, and daemons of
/// different builds must compute the same weights.
pub fn weight(key: &str, name: &str) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let separator = [0_u8];
    let bytes = key.bytes().chain(separator).chain(name.bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    finalise(hash)
}

fn finalise(hash: u64) -> u64 {
    let hash = hash.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
