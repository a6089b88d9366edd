//! Tickets: the permission to run one non-idempotent request once.
//!
//! Only the process that minted a ticket may run it, and it moves the ticket
//! from unused to running before anything is sent. The table lives and dies
//! with the process, so no view of the fleet, no pause and no second host can
//! lead to a second run. A process that does not know a ticket can vouch that
//! it will not run later, but not that it never ran.

use std::{collections::BTreeSet, time::Duration};

use base::{HashMap, HostName, Incarnation, Outcome, Reason, ServiceName, Time};

use crate::message::{RedemptionReply, Refusal, Ticket};

/// How long a ticket may stay unused.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(10);
/// How long the outcome of a used ticket is kept.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(120);
/// Most tickets known at once, used ones included.
const MAX_TICKETS: usize = 65_536;
/// Most bytes of recorded answers.
const MAX_RECORDED_BYTES: usize = 32 << 20;
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The tickets minted by one life of one host.
#[derive(Clone, Debug)]
pub struct TicketTable {
    minter: HostName,
    incarnation: Incarnation,
    tickets: HashMap<u128, Entry>,
    /// When each ticket that is not running may be forgotten.
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
    Recorded { fingerprint: u64, redeemed: RedemptionReply },
}

/// Where a ticket stands for a request that shows it.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketStatus {
    /// Not used yet; [`TicketTable::begin`] may use it.
    Unused,
    /// In flight; its outcome will be recorded.
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

    /// Mints a ticket; `secret` must be unguessable.
    pub fn mint(
        &mut self,
        now: Time,
        service: &ServiceName,
        secret: u128,
    ) -> Result<Ticket, Refusal> {
        self.forget_expired(now);
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

    /// Where a ticket stands; uses up nothing.
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
            TicketState::Recorded { fingerprint: used, redeemed } if *used == fingerprint => {
                Ok(TicketStatus::Recorded(redeemed.clone()))
            }
            TicketState::Running { .. } | TicketState::Recorded { .. } => {
                // The caller may have changed the request between two sends
                // of it, so the first one's run is what matters to it.
                let detail = "the ticket was used for a request with another body or shard";
                Err(refusal(Reason::BadRequest, Outcome::MayHaveRun, detail, None))
            }
        }
    }

    /// Uses the ticket up. True for exactly one call over the ticket's life:
    /// that caller, and no other, must run the request.
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

    /// Records the outcome of a run.
    pub fn complete(&mut self, now: Time, ticket: &Ticket, redeemed: RedemptionReply) {
        let Some(entry) = self.tickets.get_mut(&ticket.secret) else { return };
        let TicketState::Running { fingerprint } = entry.state else {
            base::always!(false, "ticket-runs-once", "completed while not running");
            return;
        };
        self.recorded_bytes += redeemed.body.len();
        entry.state = TicketState::Recorded { fingerprint, redeemed };
        entry.expires = now + RECORD_LIFETIME;
        self.expiries.insert((entry.expires, ticket.secret));
    }

    /// Whether this process vouches that nothing has run under the ticket.
    pub fn is_unused(&self, ticket: &Ticket) -> bool {
        let entry = self.find(ticket).ok();
        entry.is_some_and(|it| matches!(it.state, TicketState::Unused))
    }

    /// Mints no more; minted tickets may still be used.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether some ticket may still be used or is running.
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

    fn forget_expired(&mut self, now: Time) {
        while let Some(&(expires, secret)) = self.expiries.first()
            && expires <= now
        {
            self.expiries.remove(&(expires, secret));
            let Some(entry) = self.tickets.remove(&secret) else { continue };
            if let TicketState::Recorded { redeemed, .. } = entry.state {
                self.recorded_bytes -= redeemed.body.len();
            }
        }
    }
}

/// The text that callers carry: `HOST.INCARNATION.SECRET`.
pub fn ticket_text(ticket: &Ticket) -> String {
    format!("{}.{}.{:032x}", ticket.minter, ticket.incarnation, ticket.secret)
}

/// Reads a ticket's text; host names may hold dots.
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
