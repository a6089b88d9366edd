//! Tickets: each permits one run of one non-idempotent request.
//!
//! Only the process that minted a ticket may run it, and it moves the ticket
//! from unused to running before anything is sent. The table is kept in the
//! memory of that process only, so neither a stale view of the fleet nor a pause
//! nor a second host can cause a second run. A process that does not know a
//! ticket can guarantee that it will not run later, but not that it never ran.

use std::{collections::BTreeSet, time::Duration};

use base::{HashMap, HostName, Incarnation, Outcome, Reason, ServiceName, Time};

use crate::message::{RedemptionReply, Refusal, Ticket};

/// How long a ticket may stay unused.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(10);
/// How long the reply to a used ticket is kept.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(120);
/// Maximum number of tickets in the table, including used ones.
const MAX_TICKETS: usize = 65_536;
/// No tickets are minted while the recorded replies have at least this many
/// bytes.
const MAX_RECORDED_BYTES: usize = 32 << 20;
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Tickets minted by one incarnation of a host.
#[derive(Clone, Debug)]
pub struct TicketTable {
    minter: HostName,
    incarnation: Incarnation,
    tickets: HashMap<u128, Entry>,
    /// Expiry of each ticket that is not running.
    expiries: BTreeSet<(Time, u128)>,
    recorded_bytes: usize,
    is_stopping: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    service: ServiceName,
    expires: Time,
    state: TicketState,
}

#[derive(Clone, Debug)]
enum TicketState {
    Unused,
    Running { fingerprint: u64 },
    Recorded { fingerprint: u64, reply: RedemptionReply },
}

/// Status of a ticket for a request that presents it.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketStatus {
    /// Not used yet; [`TicketTable::begin`] can use it.
    Unused,
    /// In flight; its reply will be recorded.
    Running,
    Recorded(RedemptionReply),
}

impl TicketTable {
    pub fn new(minter: HostName, incarnation: Incarnation) -> Self {
        TicketTable {
            minter,
            incarnation,
            tickets: HashMap::default(),
            expiries: BTreeSet::new(),
            recorded_bytes: 0,
            is_stopping: false,
        }
    }

    /// Mints a ticket; `secret` must not be guessable.
    pub fn mint(
        &mut self,
        now: Time,
        service: &ServiceName,
        secret: u128,
    ) -> Result<Ticket, Refusal> {
        self.remove_expired(now);
        if self.is_stopping {
            let detail = "the host is stopping; another host mints tickets";
            return Err(refusal(Reason::Stopping, Outcome::NotRun, detail, Some(Duration::ZERO)));
        }
        let is_full =
            self.tickets.len() >= MAX_TICKETS || self.recorded_bytes >= MAX_RECORDED_BYTES;
        if is_full || self.tickets.contains_key(&secret) {
            let detail = "too many tickets are outstanding at this host";
            let retry_after = Some(FULL_RETRY_AFTER);
            return Err(refusal(Reason::TicketTableFull, Outcome::NotRun, detail, retry_after));
        }
        let expires = now + TICKET_LIFETIME;
        let entry = Entry { service: service.clone(), expires, state: TicketState::Unused };
        self.tickets.insert(secret, entry);
        self.expiries.insert((expires, secret));
        Ok(Ticket { minter: self.minter.clone(), incarnation: self.incarnation, secret })
    }

    /// Returns the status of a ticket without using it.
    pub fn status(
        &mut self,
        now: Time,
        ticket: &Ticket,
        service: &ServiceName,
        fingerprint: u64,
    ) -> Result<TicketStatus, Refusal> {
        let entry = self.find(ticket)?;
        let is_expired = entry.expires <= now;
        match &entry.state {
            TicketState::Unused if entry.service != *service => {
                let detail = "the ticket was minted for another service";
                Err(refusal(Reason::BadRequest, Outcome::NotRun, detail, None))
            }
            TicketState::Unused if is_expired => {
                let detail = "the ticket was never used and has expired; take a new one";
                Err(refusal(Reason::TicketExpired, Outcome::NotRun, detail, None))
            }
            TicketState::Unused => Ok(TicketStatus::Unused),
            TicketState::Running { fingerprint: used } if *used == fingerprint => {
                Ok(TicketStatus::Running)
            }
            TicketState::Recorded { fingerprint: used, reply } if *used == fingerprint => {
                Ok(TicketStatus::Recorded(reply.clone()))
            }
            TicketState::Running { .. } | TicketState::Recorded { .. } => {
                // The caller may have changed the request before it sent it
                // again, and the first version may have run.
                let detail = "the ticket was used for a request with another body or shard";
                Err(refusal(Reason::BadRequest, Outcome::MayHaveRun, detail, None))
            }
        }
    }

    /// Uses the ticket. Returns true for at most one call per ticket; only the
    /// caller that got true may run the request.
    #[must_use]
    pub fn begin(
        &mut self,
        now: Time,
        ticket: &Ticket,
        service: &ServiceName,
        fingerprint: u64,
    ) -> bool {
        let status = self.status(now, ticket, service, fingerprint);
        if status != Ok(TicketStatus::Unused) {
            return false;
        }
        let Some(entry) = self.tickets.get_mut(&ticket.secret) else { return false };
        entry.state = TicketState::Running { fingerprint };
        self.expiries.remove(&(entry.expires, ticket.secret));
        true
    }

    /// Records the reply to a run.
    pub fn complete(&mut self, now: Time, ticket: &Ticket, reply: RedemptionReply) {
        let Some(entry) = self.tickets.get_mut(&ticket.secret) else { return };
        let TicketState::Running { fingerprint } = entry.state else {
            base::always!(false, "ticket-runs-once", "completed while not running");
            return;
        };
        self.recorded_bytes += reply.body.len();
        entry.state = TicketState::Recorded { fingerprint, reply };
        entry.expires = now + RECORD_LIFETIME;
        self.expiries.insert((entry.expires, ticket.secret));
    }

    /// Returns whether this process can guarantee that nothing has run under the
    /// ticket.
    pub fn is_unused(&self, ticket: &Ticket) -> bool {
        let entry = self.find(ticket).ok();
        entry.is_some_and(|it| matches!(it.state, TicketState::Unused))
    }

    /// Stops minting; tickets minted before can still be used.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether any ticket can still be used or is running.
    pub fn is_busy(&self, now: Time) -> bool {
        self.tickets.values().any(|it| match it.state {
            TicketState::Unused => it.expires > now,
            TicketState::Running { .. } => true,
            TicketState::Recorded { .. } => false,
        })
    }

    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    fn find(&self, ticket: &Ticket) -> Result<&Entry, Refusal> {
        let is_own = ticket.minter == self.minter && ticket.incarnation == self.incarnation;
        let entry = self.tickets.get(&ticket.secret).filter(|_| is_own);
        entry.ok_or_else(|| {
            let detail = "the outcome under this ticket is unknown; it will not run later";
            refusal(Reason::TicketUnknown, Outcome::MayHaveRun, detail, None)
        })
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some(&(expires, secret)) = self.expiries.first()
            && expires <= now
        {
            self.expiries.remove(&(expires, secret));
            let Some(entry) = self.tickets.remove(&secret) else { continue };
            if let TicketState::Recorded { reply, .. } = entry.state {
                self.recorded_bytes -= reply.body.len();
            }
        }
    }
}

/// Formats a ticket for callers: `HOST.INCARNATION.SECRET`.
pub fn ticket_text(ticket: &Ticket) -> String {
    format!("{}.{}.{:032x}", ticket.minter, ticket.incarnation, ticket.secret)
}

/// Parses the text of a ticket. It is split from the right, as host names may
/// contain dots.
pub fn parse_ticket(text: &str) -> Option<Ticket> {
    let (rest, secret) = text.rsplit_once('.')?;
    let (minter, incarnation) = rest.rsplit_once('.')?;
    let is_hex = secret.len() == 32 && secret.bytes().all(|it| it.is_ascii_hexdigit());
    if !is_hex || !base::name::is_valid(minter) {
        return None;
    }
    Some(Ticket {
        minter: minter.into(),
        incarnation: incarnation.parse().ok()?,
        secret: u128::from_str_radix(secret, 16).ok()?,
    })
}

fn refusal(
    reason: Reason,
    outcome: Outcome,
    detail: &str,
    retry_after: Option<Duration>,
) -> Refusal {
    Refusal { reason, outcome, detail: detail.to_owned(), retry_after }
}
