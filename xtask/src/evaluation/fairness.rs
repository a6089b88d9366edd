//! Fairness between services: max-min fair shares and Jain's index.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    load::{CallOutcome, CallResult},
    scenario::CallKind,
};

/// Returns Jain's index over the services with queries from time `from` on: 1 if
/// each service has the same ratio of answered queries to its max-min fair share
/// of all answered queries.
pub fn jain_index(results: &[&CallResult], from: Duration) -> f64 {
    let mut services: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    let counts = |it: &&&CallResult| it.call.at >= from && it.call.kind == CallKind::Query;
    for result in results.iter().filter(counts) {
        let (demand, answered) = services.entry(&result.call.service).or_default();
        *demand += 1.0;
        if matches!(result.outcome, CallOutcome::Answered { .. }) {
            *answered += 1.0;
        }
    }
    let demands: Vec<f64> = services.values().map(|(demand, _)| *demand).collect();
    let total_answered: f64 = services.values().map(|(_, answered)| *answered).sum();
    let shares = fair_shares(&demands, total_answered);
    let ratios: Vec<f64> = services
        .values()
        .zip(shares)
        .map(|((_, answered), share)| answered / share.max(1.0))
        .collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|it| it * it).sum();
    if squares == 0.0 { 1.0 } else { sum * sum / (ratios.len() as f64 * squares) }
}

/// Returns the max-min fair share of `capacity` for each of `demands`.
pub fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut remaining = capacity;
    for (done, index) in order.iter().enumerate() {
        let equal = remaining / (demands.len() - done) as f64;
        shares[*index] = demands[*index].min(equal);
        remaining -= shares[*index];
    }
    shares
}
