//! The configuration in force: which version, since when it is known to be the newest one,
//! and the change to a later one, which is made as a whole.

use std::{rc::Rc, time::Duration};

use base::Time;
use forward::{Configuration, FeedProgress, Provenance, RouteTable, customers::CustomerTable};
use slog::{info, warn};

use crate::{
    Cx,
    feeds::{Feed, Means, Received},
    in_force::InForce,
};

impl Cx {
    /// Returns the version of the configuration in force, 0 before the first.
    pub fn version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |it| it.version)
    }

    /// Returns the time since the source last proved, maybe through other hosts, that the
    /// configuration in force is the newest one; `None` if it never did.
    pub fn configuration_age(&self, now: Time) -> Option<Duration> {
        self.change_logs.of(Feed::Operations).progress().age(now)
    }

    /// Returns who proved that last.
    pub fn configuration_provenance(&self) -> Provenance {
        self.change_logs.of(Feed::Operations).progress().provenance()
    }

    /// Returns the configuration in force now, for log lines.
    pub(crate) fn in_force(&self) -> InForce {
        let age = self.configuration_age(self.clock.now());
        InForce { version: self.version(), age, provenance: self.configuration_provenance() }
    }

    /// Puts `cfg` of this program in force unless the same or a later version already is.
    pub fn apply_configuration(&self, cfg: &Configuration) {
        self.change_logs.of(Feed::Operations).update_progress(FeedProgress::record_local);
        let mut proof = self.proof.get();
        proof.record_local();
        self.proof.set(proof);
        let received = Received { from: Provenance::Local, by: Means::Changes, age: None };
        self.apply_configuration_of(cfg, received);
    }

    /// Returns whether the configuration in force has no customers while `cfg` does. Peers and
    /// readers of builds that know no customers pass it on without.
    fn lacks_customers_of(&self, cfg: &Configuration) -> bool {
        self.customers.borrow().is_empty() && !cfg.customers.is_empty()
    }

    /// Same as `apply_configuration`, for one that was `received` from elsewhere.
    pub(crate) fn apply_configuration_of(&self, cfg: &Configuration, received: Received) {
        let current = self.version();
        let is_completed = cfg.version == current && self.lacks_customers_of(cfg);
        if cfg.version == current && current > 0 && !is_completed {
            return;
        }
        if cfg.version <= current && !is_completed {
            warn!(self.log, "front: ignored a configuration that is older than the one in force";
                "version" => current, "offered" => cfg.version, "origin" => %received.from,
                "by" => received.by.as_str());
            return;
        }
        self.targets.borrow_mut().configure(cfg);
        self.limits.set(cfg.limits);
        let customers = Rc::new(CustomerTable::new(&cfg.customers));
        self.quota.retain(&customers, self.clock.now());
        *self.customers.borrow_mut() = customers;
        *self.configuration.borrow_mut() = Some(Rc::new(cfg.clone()));
        let table = RouteTable::new(cfg, &mut self.targets.borrow_mut());
        *self.table.borrow_mut() = Some(Rc::new(table));
        self.update_senders();
        info!(self.log, "front: configuration in force";
            "version" => cfg.version, "routes" => cfg.routes.len(), "origin" => %received.from,
            "by" => received.by.as_str(),
            "max_age_ms" => received.age.map(|it| it.as_millis() as u64));
    }
}
