//! Bootstrap capability of a link; nothing else is reachable before a valid
//! hello.

use std::cell::RefCell;

use capnp::capability::Rc;
use rand::Rng;
use slog::{Logger, warn};

use super::{HostService, host::HostServer};
use crate::{
    generated::peer_capnp::gate,
    identity::{Identity, NONCE_BYTES},
    wire,
};

pub(super) struct Gate<S> {
    identity: Identity,
    service: S,
    log: Logger,
    /// Challenge sent to the peer and not yet answered; valid for one hello.
    nonce: RefCell<Option<[u8; NONCE_BYTES]>>,
}

impl<S> Gate<S> {
    pub(super) fn new(identity: Identity, service: S, log: Logger) -> Self {
        Gate { identity, service, log, nonce: RefCell::new(None) }
    }
}

impl<S: HostService> gate::Server for Gate<S> {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let nonce: [u8; NONCE_BYTES] = rand::rng().random();
        self.nonce.replace(Some(nonce));
        results.get().set_nonce(&nonce);
        Ok(())
    }

    async fn hello(
        self: Rc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> Result<(), capnp::Error> {
        let claim = wire::read_hello(params.get()?.get_hello()?)?;
        let Some(nonce) = self.nonce.take() else {
            return Err(capnp::Error::failed("hello without a challenge".to_owned()));
        };
        if let Err(err) = self.identity.verify(&nonce, &claim) {
            warn!(self.log, "peer rejected"; "peer" => %claim.host, "error" => %err);
            return Err(capnp::Error::failed(err.to_string()));
        }
        let server = HostServer::new(self.service.clone(), claim.address);
        results.get().set_host(capnp_rpc::new_client(server));
        Ok(())
    }
}
