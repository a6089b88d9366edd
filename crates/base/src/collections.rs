//! Hash collections with a fast hasher. Keys come from checked documents and
//! internally generated ids, so resistance to hash flooding is not needed.

pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
