//! Binary format of messages about tokens: a byte that tells them from digests, a
//! [`WireMessage`] and a [`Tail`].

use std::time::Duration;

use base::CustomerName;
use forward::quota::{Answer, Ask, QuotaMessage, Reply, Return};
use serde::{Deserialize, Serialize};

use crate::format::{FormatError, Tail};

/// First byte of each message. A digest begins with the kind of its sender's address, 0 or 1.
const MARK: u8 = b'Q';

/// Wire format of a [`QuotaMessage`]. It is fixed: hosts of other builds read it.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum WireMessage {
    Ask { nonce: u64, customer: String, needed: u32, wanted: u32, is_declined: bool },
    Granted { nonce: u64, customer: String, tokens: u32, wait_us: Option<u64> },
    Declined { nonce: u64, customer: String },
    Return { nonce: u64, customer: String, tokens: u32 },
}

/// Returns whether a datagram on the port for other hosts is about tokens.
pub(crate) fn is_quota_message(bytes: &[u8]) -> bool {
    bytes.first() == Some(&MARK)
}

pub(super) fn encode(message: &QuotaMessage) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_extend(&WireMessage::from(message), vec![MARK])?;
    Tail::own().append_to(bytes)
}

/// Decodes a message for which [`is_quota_message`] holds.
pub(super) fn decode(bytes: &[u8]) -> Result<QuotaMessage, FormatError> {
    let bytes = bytes.get(1..).unwrap_or_default();
    let (wire, rest) = postcard::take_from_bytes::<WireMessage>(bytes)?;
    Tail::decode(rest)?;
    Ok(wire.into())
}

impl From<&QuotaMessage> for WireMessage {
    fn from(message: &QuotaMessage) -> WireMessage {
        match message {
            QuotaMessage::Ask(it) => WireMessage::Ask {
                nonce: it.nonce,
                customer: it.customer.to_string(),
                needed: it.needed,
                wanted: it.wanted,
                is_declined: it.is_declined,
            },
            QuotaMessage::Reply(Reply { nonce, customer, answer }) => {
                let (nonce, customer) = (*nonce, customer.to_string());
                match *answer {
                    Answer::Declined => WireMessage::Declined { nonce, customer },
                    Answer::Granted { tokens, wait } => {
                        let wait_us = wait.map(|it| it.as_micros() as u64);
                        WireMessage::Granted { nonce, customer, tokens, wait_us }
                    }
                }
            }
            QuotaMessage::Return(it) => WireMessage::Return {
                nonce: it.nonce,
                customer: it.customer.to_string(),
                tokens: it.tokens,
            },
        }
    }
}

impl From<WireMessage> for QuotaMessage {
    fn from(wire: WireMessage) -> QuotaMessage {
        let reply = |nonce, customer, answer| {
            QuotaMessage::Reply(Reply { nonce, customer: CustomerName::from(customer), answer })
        };
        match wire {
            WireMessage::Ask { nonce, customer, needed, wanted, is_declined } => {
                let customer = customer.into();
                QuotaMessage::Ask(Ask { nonce, customer, needed, wanted, is_declined })
            }
            WireMessage::Granted { nonce, customer, tokens, wait_us } => {
                let wait = wait_us.map(Duration::from_micros);
                reply(nonce, customer, Answer::Granted { tokens, wait })
            }
            WireMessage::Declined { nonce, customer } => reply(nonce, customer, Answer::Declined),
            WireMessage::Return { nonce, customer, tokens } => {
                QuotaMessage::Return(Return { nonce, customer: customer.into(), tokens })
            }
        }
    }
}
