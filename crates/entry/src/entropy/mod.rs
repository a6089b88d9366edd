//! Random numbers for ids, ticket secrets and seeds. They come from a
//! cryptographic generator, so that tickets cannot be guessed.

use std::sync::{LazyLock, Mutex};

use rand::{
    Rng, SeedableRng,
    rngs::{SmallRng, StdRng},
};

use crate::lock::lock;

static RNG: LazyLock<Mutex<StdRng>> = LazyLock::new(|| Mutex::new(StdRng::from_os_rng()));

pub(crate) fn random_u128() -> u128 {
    lock(&RNG).random()
}

/// Returns a fast generator for the decisions of one request.
pub(crate) fn request_rng() -> SmallRng {
    SmallRng::seed_from_u64(lock(&RNG).random())
}
