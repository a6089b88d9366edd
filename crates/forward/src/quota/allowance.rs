//! What one host may send for its customers.

use std::{net::SocketAddr, time::Duration};

use base::{CustomerName, HashMap, Time};

use super::{
    Answer, Ask, Fleet, Nonce, Reply, Return, Source, Terms, Token,
    pocket::{Asked, Pocket},
};

/// Time after which a request for tokens counts as unanswered. Within a fleet, a datagram
/// each way takes a few milliseconds.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(30);

/// Unanswered requests in a row after which another host is asked: one datagram may be lost.
const MAX_UNANSWERED: u32 = 2;

/// Time for which a host that doesn't answer is not asked, doubled with each further request
/// that it doesn't answer.
const SILENT_FOR: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 5;

/// Time for which a host that declined is not asked.
const DECLINED_FOR: Duration = Duration::from_millis(300);

/// Longest time for which requests are denied without asking again.
const MAX_DENIAL: Duration = Duration::from_secs(1);

/// Tokens of all customers at one host.
#[derive(Debug)]
pub struct Allowance {
    pockets: HashMap<CustomerName, Pocket>,
    silent: HashMap<SocketAddr, Silent>,
    next_nonce: Nonce,
}

#[derive(Clone, Copy, Debug)]
struct Silent {
    unanswered: u32,
    until: Time,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Take {
    Token(Token),
    Denied(Denied),
    /// A host is to be asked, which may be the own one, and the request waits.
    Ask {
        to: SocketAddr,
        ask: Ask,
    },
    /// Another request has asked, and this one waits too.
    Wait,
}

/// A request beyond the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// Time until a token is expected.
    pub wait: Duration,
    /// Whether a ledger said so. Otherwise none answered, and the own share is used up.
    pub is_by_ledger: bool,
}

impl Allowance {
    /// Requests for tokens are numbered from `first_nonce`, which differs between hosts.
    pub fn new(first_nonce: Nonce) -> Allowance {
        Allowance {
            pockets: HashMap::default(),
            silent: HashMap::default(),
            next_nonce: first_nonce,
        }
    }

    /// Records a request that needs a token. [`Allowance::leave`] has to follow.
    pub fn enter(&mut self, customer: &CustomerName, now: Time) {
        let pocket = self.pocket(customer);
        pocket.arrivals.record(now);
        pocket.waiting += 1;
    }

    /// Records that a request doesn't need a token any more.
    pub fn leave(&mut self, customer: &CustomerName) {
        let pocket = self.pocket(customer);
        pocket.waiting = pocket.waiting.saturating_sub(1);
    }

    /// Takes a token, or returns how to get one.
    pub fn take(
        &mut self,
        customer: &CustomerName,
        terms: &Terms,
        fleet: &Fleet,
        now: Time,
    ) -> Take {
        let pocket = self.pocket(customer);
        if let Some(source) = pocket.take(now) {
            return Take::Token(Token { customer: customer.clone(), source });
        }
        if pocket.denied_until > now {
            let wait = pocket.token_at.until(now);
            return Take::Denied(Denied { wait, is_by_ledger: true });
        }
        match pocket.asked {
            Some(asked) if now.since(asked.at) < ASK_TIMEOUT => return Take::Wait,
            Some(asked) => self.record_unanswered(customer, &asked, now),
            None => {}
        }
        match self.next_ledger(customer, fleet, now) {
            Some((to, is_declined)) => self.ask(customer, to, is_declined, terms, now),
            None => match self.take_own(customer, terms, fleet, now) {
                Ok(token) => Take::Token(token),
                Err(denied) => Take::Denied(denied),
            },
        }
    }

    /// Takes a token of the own share for a request that can't wait for a reply any longer.
    pub fn take_own(
        &mut self,
        customer: &CustomerName,
        terms: &Terms,
        fleet: &Fleet,
        now: Time,
    ) -> Result<Token, Denied> {
        let share = fleet.own_part(customer, terms.own_total());
        let pocket = self.pocket(customer);
        if let Some(source) = pocket.take_own(share, terms, now) {
            return Ok(Token { customer: customer.clone(), source });
        }
        // By then, another ledger was asked or the own share has a token.
        let wait = pocket.own_wait(share, terms, now).unwrap_or(MAX_DENIAL).min(MAX_DENIAL);
        Err(Denied { wait, is_by_ledger: false })
    }

    /// Takes in a reply; returns whether a request for tokens waited for it.
    pub fn receive(&mut self, reply: &Reply, terms: &Terms, now: Time) -> bool {
        let Some(pocket) = self.pockets.get_mut(&reply.customer) else { return false };
        let Some(asked) = pocket.asked.filter(|it| it.nonce == reply.nonce) else { return false };
        pocket.asked = None;
        self.silent.remove(&asked.to);
        match reply.answer {
            Answer::Granted { tokens, wait } => {
                pocket.add(&asked, tokens, terms);
                let wait = wait.unwrap_or_default();
                pocket.token_at = now + wait;
                pocket.denied_until = now + wait.min(MAX_DENIAL);
            }
            Answer::Declined => pocket.declined.push((asked.to, now + DECLINED_FOR)),
        }
        true
    }

    /// Puts back the token of a request that was not sent. Returns a message to a ledger if
    /// no other request of this host is expected to use it.
    pub fn put_back(
        &mut self,
        token: Token,
        terms: &Terms,
        now: Time,
    ) -> Option<(SocketAddr, Return)> {
        let pocket = self.pocket(&token.customer);
        let Source::Grant { nonce, ledger, void_at } = token.source else {
            pocket.put_back(token.source);
            return None;
        };
        let left = void_at.until(now).min(terms.grant_life());
        if left.is_zero() {
            return None;
        }
        if pocket.waiting > 0 || pocket.arrivals.expected(left, now) > 0 {
            pocket.put_back(token.source);
            return None;
        }
        Some((ledger, Return { nonce, customer: token.customer, tokens: 1 }))
    }

    /// Forgets customers for which `is_known` returns false and none of whose requests waits.
    pub fn retain(&mut self, is_known: impl Fn(&CustomerName) -> bool, now: Time) {
        self.pockets.retain(|it, pocket| pocket.waiting > 0 || is_known(it));
        self.remove_old_silences(now);
    }

    fn pocket(&mut self, customer: &CustomerName) -> &mut Pocket {
        self.pockets.entry(customer.clone()).or_default()
    }

    /// Returns the host to ask, and whether the one before it declined.
    fn next_ledger(
        &mut self,
        customer: &CustomerName,
        fleet: &Fleet,
        now: Time,
    ) -> Option<(SocketAddr, bool)> {
        let is_silent = |it| self.silent.get(&it).is_some_and(|it| it.until > now);
        let ledgers = fleet.ledgers(customer, is_silent, now);
        let pocket = self.pocket(customer);
        pocket.declined.retain(|(_, until)| *until > now);
        let declined = |it: &SocketAddr| pocket.declined.iter().any(|(host, _)| host == it);
        let is_declined = ledgers.first().is_some_and(declined);
        ledgers.into_iter().find(|it| !declined(it)).map(|it| (it, is_declined))
    }

    fn ask(
        &mut self,
        customer: &CustomerName,
        to: SocketAddr,
        is_declined: bool,
        terms: &Terms,
        now: Time,
    ) -> Take {
        let nonce = self.next_nonce;
        self.next_nonce = nonce.wrapping_add(1);
        let pocket = self.pocket(customer);
        pocket.asked = Some(Asked { nonce, to, at: now });
        let needed = pocket.waiting.max(1);
        let expected = pocket.arrivals.expected(terms.grant_life(), now);
        let wanted = needed.saturating_add(expected);
        let ask = Ask { nonce, customer: customer.clone(), needed, wanted, is_declined };
        Take::Ask { to, ask }
    }

    fn record_unanswered(&mut self, customer: &CustomerName, asked: &Asked, now: Time) {
        self.pocket(customer).asked = None;
        self.remove_old_silences(now);
        let silent = self.silent.entry(asked.to).or_insert(Silent { unanswered: 0, until: now });
        silent.unanswered = silent.unanswered.saturating_add(1);
        if let Some(further) = silent.unanswered.checked_sub(MAX_UNANSWERED) {
            silent.until = now + SILENT_FOR * (1 << further.min(MAX_DOUBLINGS));
        }
    }

    /// Removes hosts that have not been silent for longer than the longest time for which one
    /// is not asked, so that requests lost at long intervals do not add up.
    fn remove_old_silences(&mut self, now: Time) {
        self.silent.retain(|_, it| now.since(it.until) < SILENT_FOR * (1 << MAX_DOUBLINGS));
    }
}
