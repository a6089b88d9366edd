//! Tokens that one host holds for one customer.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use base::{CustomerName, Time};

use super::{Nonce, Terms, arrivals::Arrivals};

/// The right to send one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    pub customer: CustomerName,
    pub source: Source,
}

/// Where a token comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Grant {
        nonce: Nonce,
        ledger: SocketAddr,
        void_at: Time,
    },
    /// The host's own share, used at a time.
    Own {
        at: Time,
    },
}

/// A request for tokens without a reply yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    pub nonce: Nonce,
    pub to: SocketAddr,
    pub at: Time,
}

#[derive(Debug, Default)]
pub(super) struct Pocket {
    /// Grants, those that become void first at the front.
    grants: VecDeque<Held>,
    pub asked: Option<Asked>,
    /// Requests that wait for tokens.
    pub waiting: u32,
    pub denied_until: Time,
    /// Time at which the ledger expects a token.
    pub token_at: Time,
    /// Hosts that declined to grant tokens, and until when they are not asked.
    pub declined: Vec<(SocketAddr, Time)>,
    pub arrivals: Arrivals,
    /// Times at which the own share was used, the oldest first.
    own_used: VecDeque<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    nonce: Nonce,
    ledger: SocketAddr,
    void_at: Time,
    tokens: u32,
}

impl Pocket {
    pub(super) fn add(&mut self, asked: &Asked, tokens: u32, terms: &Terms) {
        let void_at = asked.at + terms.grant_life();
        let held = Held { nonce: asked.nonce, ledger: asked.to, void_at, tokens };
        let index = self.grants.partition_point(|it| it.void_at <= void_at);
        self.grants.insert(index, held);
    }

    /// Takes a granted token that is not void.
    pub(super) fn take(&mut self, now: Time) -> Option<Source> {
        self.grants.retain(|it| it.tokens > 0 && it.void_at > now);
        let held = self.grants.front_mut()?;
        held.tokens -= 1;
        let Held { nonce, ledger, void_at, .. } = *held;
        Some(Source::Grant { nonce, ledger, void_at })
    }

    /// Takes a token of the host's own share, `share` of which there are in a window.
    pub(super) fn take_own(&mut self, share: usize, terms: &Terms, now: Time) -> Option<Source> {
        let window = terms.window();
        while self.own_used.front().is_some_and(|it| now.since(*it) > window) {
            self.own_used.pop_front();
        }
        if self.own_used.len() >= share {
            return None;
        }
        self.own_used.push_back(now);
        Some(Source::Own { at: now })
    }

    /// Returns the time until the own share has a token again, if it is ever to have one.
    pub(super) fn own_wait(&self, share: usize, terms: &Terms, now: Time) -> Option<Duration> {
        let oldest = self.own_used.front().filter(|_| share > 0)?;
        Some((*oldest + terms.window()).until(now))
    }

    /// Puts back a token that was not used.
    pub(super) fn put_back(&mut self, source: Source) {
        match source {
            Source::Own { at } => {
                if let Some(index) = self.own_used.iter().rposition(|it| *it == at) {
                    self.own_used.remove(index);
                }
            }
            Source::Grant { nonce, ledger, void_at } => {
                let index = self.grants.partition_point(|it| it.void_at <= void_at);
                self.grants.insert(index, Held { nonce, ledger, void_at, tokens: 1 });
            }
        }
    }
}
