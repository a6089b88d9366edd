//! Whether requests with keys may be sent by the configuration in force: whether it has their
//! key, and is proven to be new enough where the revocation of keys is strict.

use std::{rc::Rc, time::Duration};

use base::{CustomerName, Time};
use forward::{
    customers::{Customer, FreshnessView, StatedProof},
    route::{ConfigurationView, UnknownRoute},
};
use http::StatusCode;
use slog::{info, warn};

use crate::{
    Cx, SharedCx,
    answer::{Refusal, UNAVAILABLE_WAIT},
    in_force::InForce,
    messages::{Identity, KeyRejection},
};

impl Cx {
    /// Returns the time since the configuration in force was proven to be the newest one, by
    /// the time of calls. [`Cx::configuration_age`] also counts how long calls were held.
    pub fn proof_age(&self, now: Time) -> Option<Duration> {
        self.proof.get().age(now)
    }

    /// Records a complete answer to a call that was made at `called`, whose origin stated a
    /// proof of this age for a version that is not later than the own one.
    pub(crate) fn record_proof(&self, called: Time, age: Duration) {
        let mut proof = self.proof.get();
        proof.record(called, age);
        self.proof.set(proof);
    }

    /// Records what another host that was asked at `called` states of its proof. It holds
    /// here if no later version than the own one is needed for it.
    pub(crate) fn take_over_proof(&self, called: Time, stated: Option<StatedProof>) {
        if let Some(stated) = stated.filter(|it| it.version <= self.version()) {
            self.record_proof(called, stated.age);
        }
    }

    /// Returns what this host tells others of its proof; nothing where no customers are.
    pub(crate) fn stated_proof(&self) -> Option<StatedProof> {
        self.stated_proof_since(self.clock.now())
    }

    /// Same as `stated_proof`, for a host whose call came at `asked` and was held since. The
    /// age is that at the time of the call, as the host adds the time since then.
    pub(crate) fn stated_proof_since(&self, asked: Time) -> Option<StatedProof> {
        let is_needed =
            self.cfg.customers.is_revocation_strict || !self.customers.borrow().is_empty();
        let age = self.proof_age(asked).filter(|_| is_needed)?;
        Some(StatedProof { age, version: self.version() })
    }

    /// Returns the customer that holds the key of a request now, if it may be sent.
    pub(crate) fn check_key(&self, identity: &Identity) -> Result<Rc<Customer>, KeyRejection> {
        let customers = self.customers.borrow();
        // Without customers, requests need no key any more.
        let kept = customers.is_empty().then_some(&identity.customer);
        let holder = customers.find(&identity.key).or(kept);
        let holder = holder.ok_or(KeyRejection::Removed)?;
        if !self.accepts_keys() {
            return Err(KeyRejection::Unproven);
        }
        Ok(holder.clone())
    }

    /// Returns whether the proof is young enough for requests with keys.
    fn accepts_keys(&self) -> bool {
        self.cfg.customers.allows_keys(self.proof_age(self.clock.now()))
    }

    /// Returns whether callers with keys should go to other hosts, which have a proof that is
    /// young enough.
    pub(crate) fn should_leave_callers(&self) -> bool {
        if self.customers.borrow().is_empty() || self.accepts_keys() {
            return false;
        }
        let (peers, now) = (self.peers.borrow(), self.clock.now());
        self.cfg.customers.should_leave_callers(FreshnessView {
            own: self.proof_age(now),
            elsewhere: peers.youngest_proof(now),
            misses_hosts: peers.misses_hosts(now),
        })
    }

    /// Counts a request of a customer.
    pub(crate) fn record_customer_request(&self, name: &CustomerName, result: &'static str) {
        let customers = self.customers.borrow();
        self.metrics.record_customer_request(customers.shown_name(name), result);
    }

    /// Returns whether a later configuration may have what the one in force lacks.
    pub(crate) fn certainty(&self, in_force: InForce) -> UnknownRoute {
        let newest = self.peers.borrow().peer_with_newest_version(self.clock.now());
        let view = ConfigurationView {
            version: in_force.version,
            age: in_force.age,
            elsewhere: newest.map_or(0, |(_, version)| version),
        };
        UnknownRoute::new(view, self.cfg.configuration_due)
    }
}

/// Refuses a request whose key must not be used. `reason` is why, if the configuration in
/// force is known to be the newest one.
pub(crate) fn refuse_key(
    cx: &Cx,
    why: KeyRejection,
    reason: &'static str,
    left: Duration,
) -> Refusal {
    match (why, cx.certainty(cx.in_force())) {
        (KeyRejection::Unproven, _) => {
            let expected = cx.cfg.customers.hold_limit().unwrap_or(UNAVAILABLE_WAIT);
            let reason = "the configuration may be out of date";
            let age = cx.proof_age(cx.clock.now());
            let inputs = age.map(|it| format!("proof of {} ms ago", it.as_millis()));
            let inputs = inputs.unwrap_or_else(|| "no proof".to_owned());
            Refusal::not_run(reason, expected, left).with_inputs(inputs)
        }
        (KeyRejection::Removed, UnknownRoute::Absent) => {
            Refusal::new(StatusCode::UNAUTHORIZED, reason)
        }
        (KeyRejection::Removed, UnknownRoute::Uncertain) => {
            Refusal::not_run("the key may not be known yet", UNAVAILABLE_WAIT, left)
        }
    }
}

/// Logs when requests with keys begin to be refused for want of a proof, and when this ends.
pub(crate) fn log_change(cx: &SharedCx) {
    if cx.customers.borrow().is_empty() {
        return;
    }
    let accepts_keys = cx.accepts_keys();
    if cx.accepted_keys.replace(accepts_keys) == accepts_keys {
        return;
    }
    let age_ms = cx.proof_age(cx.clock.now()).map(|it| it.as_millis() as u64);
    if accepts_keys {
        info!(cx.log, "customers: requests with keys are accepted again"; cx.in_force(),
            "proof_age_ms" => age_ms);
    } else {
        warn!(cx.log, "customers: requests with keys are refused, the proof of the configuration \
            is too old"; cx.in_force(), "proof_age_ms" => age_ms);
    }
}
