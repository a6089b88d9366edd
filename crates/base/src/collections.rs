//! Hash collections with a fast hasher. Keys come from checked documents and
//! from our own ids, so resistance to chosen keys is not needed.

pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
