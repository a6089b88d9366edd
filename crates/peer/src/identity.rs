//! Host identity and fleet authentication. When a link opens, a host proves
//! that it belongs to the fleet by an HMAC over a challenge, keyed with a
//! secret that all hosts share. The same secret authenticates datagrams.

use std::{net::SocketAddr, sync::Arc};

use base::{HostName, Incarnation};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Version of the protocol between hosts. Hosts can open links to each other
/// if their versions differ by at most one.
pub const PROTOCOL_VERSION: u16 = 1;

/// Length of a challenge, in bytes.
pub const NONCE_BYTES: usize = 16;

/// Length of the truncated MAC on a datagram, in bytes.
pub const DATAGRAM_MAC_BYTES: usize = 16;

/// Identity of this host and the secret of its fleet.
#[derive(Clone)]
pub struct Identity {
    pub fleet: Arc<str>,
    pub host: HostName,
    /// Address on which the host listens for other hosts.
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    /// Secret shared by all hosts of the fleet; `None` disables authentication.
    pub secret: Option<Arc<[u8]>>,
}

/// Identity that a host claims in its hello, with the MAC that proves it.
#[derive(Clone, Debug, PartialEq)]
pub struct IdentityClaim {
    pub fleet: String,
    pub version: u16,
    pub host: HostName,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub mac: Vec<u8>,
}

/// Reason for rejecting a peer or a datagram.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum IdentityError {
    #[error("the peer belongs to fleet {theirs:?}, this host to {ours:?}")]
    FleetMismatch { ours: String, theirs: String },
    #[error("the peer speaks protocol version {theirs}, this host {PROTOCOL_VERSION}")]
    VersionMismatch { theirs: u16 },
    #[error("the peer's proof of the fleet secret is wrong")]
    InvalidMac,
}

impl Identity {
    /// Returns this host's claim in response to the challenge `nonce`.
    pub fn claim(&self, nonce: &[u8]) -> IdentityClaim {
        let mut claim = IdentityClaim {
            fleet: self.fleet.to_string(),
            version: PROTOCOL_VERSION,
            host: self.host.clone(),
            address: self.address,
            incarnation: self.incarnation,
            mac: Vec::new(),
        };
        if let Some(secret) = &self.secret {
            claim.mac = claim_mac(secret, nonce, &claim).finalize().into_bytes().to_vec();
        }
        claim
    }

    /// Checks a peer's claim against the challenge `nonce` sent to that peer.
    pub fn verify(&self, nonce: &[u8], claim: &IdentityClaim) -> Result<(), IdentityError> {
        if *claim.fleet != *self.fleet {
            let (ours, theirs) = (self.fleet.to_string(), claim.fleet.clone());
            return Err(IdentityError::FleetMismatch { ours, theirs });
        }
        if claim.version.abs_diff(PROTOCOL_VERSION) > 1 {
            return Err(IdentityError::VersionMismatch { theirs: claim.version });
        }
        let Some(secret) = &self.secret else { return Ok(()) };
        claim_mac(secret, nonce, claim)
            .verify_slice(&claim.mac)
            .map_err(|_| IdentityError::InvalidMac)
    }

    /// Appends the MAC to a datagram if the fleet has a secret.
    pub fn sign_datagram(&self, buf: &mut Vec<u8>) {
        let Some(secret) = &self.secret else { return };
        let mut mac = new_mac(secret);
        mac.update(self.fleet.as_bytes());
        mac.update(buf);
        buf.extend_from_slice(&mac.finalize().into_bytes()[..DATAGRAM_MAC_BYTES]);
    }

    /// Returns the message of a datagram without its MAC if the MAC is valid.
    /// Without a fleet secret, datagrams carry no MAC.
    pub fn verify_datagram<'a>(&self, buf: &'a [u8]) -> Result<&'a [u8], IdentityError> {
        let Some(secret) = &self.secret else { return Ok(buf) };
        let Some(split) = buf.len().checked_sub(DATAGRAM_MAC_BYTES) else {
            return Err(IdentityError::InvalidMac);
        };
        let (body, mac_bytes) = buf.split_at(split);
        let mut mac = new_mac(secret);
        mac.update(self.fleet.as_bytes());
        mac.update(body);
        mac.verify_truncated_left(mac_bytes).map_err(|_| IdentityError::InvalidMac)?;
        Ok(body)
    }
}

fn claim_mac(secret: &[u8], nonce: &[u8], claim: &IdentityClaim) -> Hmac<Sha256> {
    let mut mac = new_mac(secret);
    let address = claim.address.to_string();
    for field in [nonce, claim.fleet.as_bytes(), claim.host.as_bytes(), address.as_bytes()] {
        mac.update(&(field.len() as u64).to_le_bytes());
        mac.update(field);
    }
    mac.update(&claim.version.to_le_bytes());
    mac.update(&claim.incarnation.0.to_le_bytes());
    mac
}

fn new_mac(secret: &[u8]) -> Hmac<Sha256> {
    let Ok(mac) = Hmac::<Sha256>::new_from_slice(secret) else {
        unreachable!("HMAC takes keys of any length")
    };
    mac
}
