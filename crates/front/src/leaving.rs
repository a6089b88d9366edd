//! Targets that said that they leave, as hosts tell each other: in digests, and in the answer
//! to a request passed on, as the host that gets it may send to them itself.

use std::time::Duration;

use base::TargetName;
use forward::target::LeavingTarget;
use http::{HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::{
    SharedCx,
    answer::Answer,
    messages::{RelayOutcome, relay},
};

/// Targets whose answers to a request say that they leave; kept with its answer.
#[derive(Clone, Debug)]
struct Leaving(Vec<LeavingTarget>);

/// Wire format of a [`LeavingTarget`]. It is fixed: hosts of other builds read it.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct WireLeaving {
    name: String,
    born: Option<u64>,
    age_ms: u64,
}

/// Keeps with an answer which targets said in theirs that they leave.
pub(crate) fn attach_leaving(answer: &mut Answer, leaving: Vec<LeavingTarget>) {
    if !leaving.is_empty() {
        answer.extensions_mut().insert(Leaving(leaving));
    }
}

/// Names the targets that are kept with an answer in its headers, for the host that passed
/// the request on.
pub(crate) fn write_leaving(cx: &SharedCx, answer: &mut Answer) {
    relay::take_leaving(answer.headers_mut());
    let Some(Leaving(leaving)) = answer.extensions_mut().remove() else { return };
    match encode(&leaving) {
        Ok(value) => relay::write_leaving(answer.headers_mut(), value),
        Err(err) => warn!(cx.log, "relay: cannot name targets that leave"; "error" => err),
    }
}

/// Records the targets that another host's answer names, and removes them there. An answer
/// that states no outcome is none of a host.
pub(crate) fn record_leaving(cx: &SharedCx, headers: &mut HeaderMap) {
    let value = relay::take_leaving(headers);
    let Some(value) = value.filter(|_| RelayOutcome::read(headers).is_some()) else { return };
    let named: Vec<WireLeaving> = match serde_json::from_slice(value.as_bytes()) {
        Ok(named) => named,
        Err(err) => {
            let err = err.to_string();
            warn!(cx.log, "relay: cannot read the targets that leave"; "error" => err);
            return;
        }
    };
    let named: Vec<LeavingTarget> = named.into_iter().map(LeavingTarget::from).collect();
    learn(cx, &named);
}

/// Records targets of which another host says that they leave.
pub(crate) fn learn(cx: &SharedCx, leaving: &[LeavingTarget]) {
    let now = cx.clock.now();
    for it in leaving {
        if cx.targets.borrow_mut().learn_leaving(it, now) {
            info!(cx.log, "targets: leaving, by another host"; "target" => it.name.as_str(),
                "for_ms" => it.age.as_millis() as u64);
        }
    }
}

fn encode(leaving: &[LeavingTarget]) -> Result<HeaderValue, String> {
    let wire: Vec<WireLeaving> = leaving.iter().map(WireLeaving::from).collect();
    let bytes = serde_json::to_vec(&wire).map_err(|err| err.to_string())?;
    HeaderValue::try_from(bytes).map_err(|err| err.to_string())
}

impl From<&LeavingTarget> for WireLeaving {
    fn from(it: &LeavingTarget) -> Self {
        let age_ms = u64::try_from(it.age.as_millis()).unwrap_or(u64::MAX);
        WireLeaving { name: it.name.to_string(), born: it.born, age_ms }
    }
}

impl From<WireLeaving> for LeavingTarget {
    fn from(wire: WireLeaving) -> Self {
        LeavingTarget {
            name: TargetName::from(wire.name),
            born: wire.born,
            age: Duration::from_millis(wire.age_ms),
        }
    }
}
