//! Serves this host's state to peers.

use base::HashMap;
use bytes::Bytes;
use http::{Response, StatusCode};
use slog::{debug, warn};

use super::{
    Part,
    customers::WireCustomers,
    wire::{WireConfiguration, WireState, WireTarget, WireUnlisted, ms},
};
use crate::{
    MessageKind, SharedCx,
    answer::{Answer, AnswerBody},
    feeds::Feed,
    format::{FORMAT, rounded_up},
};

/// Answers a call for state. A path that this build doesn't know is not found.
pub(crate) fn answer(cx: &SharedCx, path: &str) -> Answer {
    let Some(part) = Part::of(path) else {
        cx.metrics.record_rejected_message("call", "unknown path");
        debug!(cx.log, "state: another host asks for what is unknown here"; "path" => path);
        let mut answer = Response::new(AnswerBody::new(Bytes::new()));
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    };
    state(cx, part)
}

fn state(cx: &SharedCx, part: Part) -> Answer {
    let mut answer = Response::new(AnswerBody::new(Bytes::new()));
    let encoded = {
        let cfg = cx.configuration.borrow();
        let Some(cfg) = cfg.as_ref() else {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return answer;
        };
        let now = cx.clock.now();
        let targets = cx.targets.borrow();
        let age_ms = |feed| {
            let known_until = cx.change_logs.of(feed).progress().proven_until();
            known_until.map(|it| ms(now.since(it)))
        };
        let configuration = WireConfiguration::from(&**cfg);
        let customers = WireCustomers::of(cfg);
        let proof_age_ms = cx.stated_proof().map(|it| rounded_up(it.age));
        let all = |configuration, customers| WireState {
            format: FORMAT,
            configuration,
            customers,
            proof_age_ms,
            follows_source: cx.follows_targets.get(),
            targets: targets.listed_reports(now).map(|it| WireTarget::from(&it)).collect(),
            targets_age_ms: age_ms(Feed::Targets),
            operations_age_ms: age_ms(Feed::Operations),
            unlisted: targets.unlisted(now).map(WireUnlisted::from).collect(),
            evacuated: targets.evacuated().iter().map(ToString::to_string).collect(),
            unknown: HashMap::default(),
        };
        serde_json::to_vec(&match part {
            Part::All => all(configuration, customers),
            Part::Configuration => {
                WireState { proof_age_ms, ..WireState::of_configuration(configuration, customers) }
            }
        })
    };
    match encoded {
        Ok(mut bytes) => {
            cx.cfg.peer_keys.sign(MessageKind::State, &mut bytes);
            *answer.body_mut() = AnswerBody::new(Bytes::from(bytes));
        }
        Err(err) => {
            warn!(cx.log, "state: cannot encode this host's state"; "error" => %err);
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    answer
}
