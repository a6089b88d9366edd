//! Token buckets of customers.

use std::{collections::VecDeque, time::Duration};

use base::{CustomerName, HashMap, Time};

use super::{Answer, Ask, Nonce, Reply, Return, Standing, Terms};
use crate::customers::RateLimit;

/// Part of a bucket that is granted only for requests that wait for it. The rest may also be
/// granted for requests that are only expected.
const RESERVED_PART: f64 = 0.5;

/// Limits on the wait that is stated: a shorter one is no longer than a message takes, and
/// rates of nearly nothing would give absurd ones.
const MIN_WAIT: Duration = Duration::from_millis(1);
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The buckets of a host, for the customers whose ledger it is.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: HashMap<CustomerName, Account>,
    /// Time at which a customer without an account was last declined. Another host may be the
    /// ledger of that customer until then, so new accounts begin empty at that time.
    declined_at: Time,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// Bucket for times in which another host may be the ledger.
    spare: Bucket,
    /// Grants that are not void yet, the oldest first.
    grants: VecDeque<Grant>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    /// Time before which another host may have granted tokens.
    since: Time,
    filled_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    nonce: Nonce,
    at: Time,
    tokens: u32,
}

impl Ledger {
    /// Answers a request for tokens.
    pub fn answer(&mut self, ask: &Ask, terms: &Terms, standing: Standing, now: Time) -> Reply {
        let answer = match standing {
            Standing::Settling => Answer::Declined,
            Standing::Ledger { since, reach } => {
                let Some(limit) = terms.limit_within(reach) else { return decline(ask) };
                let account = self.account(&ask.customer, since, terms, now);
                account.bucket.restart(since, &limit);
                account.bucket.fill(&limit, now);
                let (tokens, wait) = account.bucket.take(ask, &limit);
                account.record(ask.nonce, tokens, now);
                Answer::Granted { tokens, wait }
            }
            Standing::StandIn { running_since } => {
                let account = self.account(&ask.customer, running_since, terms, now);
                let limit = terms.spare_limit();
                account.spare.fill(&limit, now);
                let (tokens, wait) = account.spare.take(ask, &limit);
                Answer::Granted { tokens, wait }
            }
        };
        Reply { nonce: ask.nonce, customer: ask.customer.clone(), answer }
    }

    /// Answers a request for tokens of a customer that has no limit by the configuration in
    /// force, and so no account.
    pub fn decline_unknown(&mut self, ask: &Ask, now: Time) -> Reply {
        self.declined_at = now;
        decline(ask)
    }

    /// Takes back tokens of a grant that is not void yet.
    pub fn take_back(&mut self, returned: &Return, terms: &Terms, now: Time) {
        let Some(account) = self.accounts.get_mut(&returned.customer) else { return };
        account.remove_void(terms, now);
        let grant = account.grants.iter_mut().find(|it| it.nonce == returned.nonce);
        let Some(grant) = grant else { return };
        let tokens = returned.tokens.min(grant.tokens);
        grant.tokens -= tokens;
        let held: u32 = account.grants.iter().map(|it| it.tokens).sum();
        // Tokens that are granted and returned again and again must not add up beyond those
        // that could be held without returns.
        let life = terms.grant_life().as_secs_f64();
        let RateLimit { per_second, burst } = terms.limit;
        let room = (burst + per_second * life - f64::from(held)).clamp(0.0, burst.max(1.0));
        let level = account.bucket.level;
        account.bucket.level = (level + f64::from(tokens)).min(room).max(level);
    }

    /// Removes the accounts of customers for which `is_limited` returns false.
    pub fn retain(&mut self, is_limited: impl Fn(&CustomerName) -> bool) {
        self.accounts.retain(|it, _| is_limited(it));
    }

    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn account(
        &mut self,
        customer: &CustomerName,
        since: Time,
        terms: &Terms,
        now: Time,
    ) -> &mut Account {
        let declined_at = self.declined_at;
        let account = self.accounts.entry(customer.clone()).or_insert_with(|| Account {
            bucket: Bucket::new(since.max(declined_at)),
            spare: Bucket::new(since),
            grants: VecDeque::new(),
        });
        account.remove_void(terms, now);
        account
    }
}

fn decline(ask: &Ask) -> Reply {
    Reply { nonce: ask.nonce, customer: ask.customer.clone(), answer: Answer::Declined }
}

impl Account {
    fn record(&mut self, nonce: Nonce, tokens: u32, now: Time) {
        if tokens > 0 {
            self.grants.push_back(Grant { nonce, at: now, tokens });
        }
    }

    fn remove_void(&mut self, terms: &Terms, now: Time) {
        let life = terms.grant_life();
        while self.grants.front().is_some_and(|it| now.since(it.at) > life) {
            self.grants.pop_front();
        }
    }
}

impl Bucket {
    fn new(since: Time) -> Bucket {
        Bucket { level: 0.0, since, filled_at: since }
    }

    /// Removes the tokens of the time before `since`, in which another host was the ledger.
    /// What is known of that time changes with each digest, so tokens are not added again.
    fn restart(&mut self, since: Time, limit: &RateLimit) {
        if since > self.since {
            let generated = self.filled_at.since(since).as_secs_f64() * limit.per_second;
            self.level = self.level.min(generated);
            self.since = since;
            self.filled_at = self.filled_at.max(since);
        }
    }

    fn fill(&mut self, limit: &RateLimit, now: Time) {
        let added = now.since(self.filled_at).as_secs_f64() * limit.per_second;
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + added).min(limit.burst);
    }

    /// Takes the tokens for a request, and returns the time until the next one if they are
    /// too few.
    fn take(&mut self, ask: &Ask, limit: &RateLimit) -> (u32, Option<Duration>) {
        let available = self.level as u32;
        let expected = (self.level - limit.burst * RESERVED_PART) as u32;
        let tokens = available.min(ask.needed.max(ask.wanted.min(expected)));
        self.level -= f64::from(tokens);
        let wait = (tokens < ask.needed).then(|| {
            let missing = (1.0 - self.level).max(0.0);
            let wait = Duration::try_from_secs_f64(missing / limit.per_second);
            wait.map_or(MAX_WAIT, |it| it.clamp(MIN_WAIT, MAX_WAIT))
        });
        (tokens, wait)
    }
}
