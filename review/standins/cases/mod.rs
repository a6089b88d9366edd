//! The cases of the review. Each returns how often the rule was broken.

pub mod encoded_answer;
pub mod endless_chunks;
pub mod foreign_entry;
pub mod late_health_answer;
pub mod lost_store_answer;
pub mod readers_cut;
pub mod silent_store;
pub mod stop_in_turn;

use std::time::Duration;

use crate::client::Load;

const PATH: &str = "/timi402/";
const SERVICE: &str = "kafi81c";

/// Requests per second of `conciliacion-proveedor` in each zone of the site.
const RATES: [(&str, f64); 3] = [("bajio-a", 8.5), ("bajio-b", 6.1), ("bajio-c", 7.9)];

/// Requests per second of all kinds in each zone of the site.
const TOTAL_RATES: [(&str, f64); 3] = [("bajio-a", 42.4), ("bajio-b", 30.3), ("bajio-c", 39.7)];

/// Clients of `conciliacion-proveedor` at these rates.
fn loads(rates: &[(&'static str, f64)], method: &'static str, body: &str) -> Vec<Load> {
    let load = |&(zone, per_s): &(&'static str, f64)| Load {
        zone,
        method,
        path: PATH,
        body: body.to_owned(),
        deadline: Duration::from_millis(5_000),
        per_s,
        swing: 0.0,
    };
    rates.iter().map(load).collect()
}
