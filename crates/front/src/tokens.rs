//! State behind the limits of customers at this host: its tokens, the buckets whose ledger
//! it is, and the hosts that it knows. What is asked and answered is in `quota`.

use std::{
    cell::{Cell, RefCell},
    collections::hash_map::RandomState,
    hash::{BuildHasher, Hasher},
    rc::Rc,
};

use base::{CustomerName, HashMap, Time};
use forward::{
    customers::CustomerTable,
    peers::Peers,
    quota::{Allowance, Fleet, Ledger, Running},
};
use tokio::{net::UdpSocket, sync::Notify};

/// The limits of customers at this host.
pub(crate) struct Quota {
    pub allowance: RefCell<Allowance>,
    pub ledger: RefCell<Ledger>,
    fleet: RefCell<Rc<Fleet>>,
    running: Cell<Running>,
    pub socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Wakes the requests of a customer that wait for a reply.
    pub replies: RefCell<HashMap<CustomerName, Rc<Notify>>>,
}

/// A request that waits for a token.
pub(crate) struct Waiting<'a> {
    pub quota: &'a Quota,
    pub customer: &'a CustomerName,
}

impl Quota {
    pub(crate) fn new(peers: &Peers, now: Time) -> Quota {
        let running = Running::new(now);
        Quota {
            // Nonces differ between hosts, and from those of an earlier process.
            allowance: RefCell::new(Allowance::new(RandomState::new().build_hasher().finish())),
            ledger: RefCell::default(),
            fleet: RefCell::new(Rc::new(Fleet::new(peers, &running, now))),
            running: Cell::new(running),
            socket: RefCell::new(None),
            replies: RefCell::default(),
        }
    }

    /// Sets the socket on which other hosts are asked.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Takes in which hosts are known now.
    pub(crate) fn update_fleet(&self, peers: &Peers, now: Time) {
        self.record_running(now);
        *self.fleet.borrow_mut() = Rc::new(Fleet::new(peers, &self.running.get(), now));
    }

    /// Forgets customers that have no limit by a new configuration.
    pub(crate) fn retain(&self, customers: &CustomerTable, now: Time) {
        let is_limited = |name: &CustomerName| customers.limit_of(name).is_some();
        self.allowance.borrow_mut().retain(is_limited, now);
        self.ledger.borrow_mut().retain(is_limited);
        self.replies.borrow_mut().retain(|it, _| is_limited(it));
    }

    /// Returns the hosts that are known. After a gap in which this host did not run, they are
    /// as outdated as what it granted.
    pub(crate) fn fleet(&self) -> Rc<Fleet> {
        self.fleet.borrow().clone()
    }

    pub(crate) fn record_running(&self, now: Time) {
        let mut running = self.running.get();
        running.record(now);
        self.running.set(running);
        let fleet = self.fleet();
        if !fleet.is_running_since(&running) {
            *self.fleet.borrow_mut() = Rc::new(fleet.with_running(&running));
        }
    }

    pub(crate) fn reply_of(&self, customer: &CustomerName) -> Rc<Notify> {
        self.replies.borrow_mut().entry(customer.clone()).or_default().clone()
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.quota.allowance.borrow_mut().leave(self.customer);
    }
}
