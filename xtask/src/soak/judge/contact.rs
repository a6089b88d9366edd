//! Which hosts were in touch, and when: rules with a time bound hold only for these.

use std::time::Duration;

use crate::soak::{
    record::{Disruption, HostIndex, Place},
    settings::Bounds,
};

pub struct Contact<'a> {
    disruptions: &'a [Disruption],
}

impl<'a> Contact<'a> {
    pub fn new(disruptions: &'a [Disruption]) -> Self {
        Contact { disruptions }
    }

    /// Returns whether a host was in touch at each moment of a span: its process ran, the
    /// store was stable, and the host could reach it, for `contact_ms` before.
    pub fn is_in_touch(&self, host: HostIndex, from: Duration, until: Duration) -> bool {
        self.is_host_calm(host, from, until)
            && self.is_free(from, until, |it| matches!(it, Place::Store | Place::StorePartly))
    }

    /// Returns whether a host itself, and its path to the store, were undisturbed.
    pub fn is_host_calm(&self, host: HostIndex, from: Duration, until: Duration) -> bool {
        self.is_free(from, until, |it| it == Place::Host(host) || it == Place::StorePath(host))
    }

    /// Returns whether no host was disturbed.
    pub fn are_hosts_calm(&self, from: Duration, until: Duration) -> bool {
        self.is_free(from, until, |it| matches!(it, Place::Host(_) | Place::StorePath(_)))
    }

    /// Returns whether the process of a host was neither stopped, killed nor frozen.
    pub fn has_run(&self, host: HostIndex, from: Duration, until: Duration) -> bool {
        self.is_undisturbed(from, until, |it| it == Place::Host(host))
    }

    /// Returns whether the process of a host has run, and its path to the store was whole.
    pub fn has_run_with_store(&self, host: HostIndex, from: Duration, until: Duration) -> bool {
        self.is_undisturbed(from, until, |it| {
            it == Place::Host(host) || it == Place::StorePath(host)
        })
    }

    /// Returns whether the store was neither down nor slow and lost no answers.
    pub fn is_store_up(&self, from: Duration, until: Duration) -> bool {
        self.is_free(from, until, |it| it == Place::Store)
    }

    pub fn is_store_stable(&self, from: Duration, until: Duration) -> bool {
        self.is_free(from, until, |it| matches!(it, Place::Store | Place::StorePartly))
    }

    /// Returns whether nothing unplanned was going on.
    pub fn is_free_of_unplanned(&self, from: Duration, until: Duration) -> bool {
        let from = from.saturating_sub(Bounds::CONTACT);
        !self.disruptions.iter().any(|it| !it.is_planned && overlaps(it, from, until))
    }

    pub fn is_target_calm(&self, from: Duration, until: Duration) -> bool {
        let of_targets = self.disruptions.iter().filter(|it| it.place == Place::Target);
        !of_targets.into_iter().any(|it| overlaps(it, from, until))
    }

    fn is_free(&self, from: Duration, until: Duration, is_meant: impl Fn(Place) -> bool) -> bool {
        self.is_undisturbed(from.saturating_sub(Bounds::CONTACT), until, is_meant)
    }

    fn is_undisturbed(
        &self,
        from: Duration,
        until: Duration,
        is_meant: impl Fn(Place) -> bool,
    ) -> bool {
        !self.disruptions.iter().any(|it| is_meant(it.place) && overlaps(it, from, until))
    }
}

fn overlaps(it: &Disruption, from: Duration, until: Duration) -> bool {
    it.from <= until && it.until >= from
}
