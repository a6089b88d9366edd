//! The hello message that authenticates a peer on a new link.

use base::Incarnation;

use super::{Result, malformed, name, text};
use crate::{generated::peer_capnp::hello, identity::IdentityClaim};

pub(crate) fn write_hello(mut to: hello::Builder<'_>, it: &IdentityClaim) {
    to.set_fleet(&it.fleet);
    to.set_version(it.version);
    to.set_host(it.host.as_str());
    to.set_address(it.address.to_string());
    to.set_incarnation(it.incarnation.0);
    to.set_mac(&it.mac);
}

pub(crate) fn read_hello(from: hello::Reader<'_>) -> Result<IdentityClaim> {
    let address = text(from.get_address()?)?;
    Ok(IdentityClaim {
        fleet: text(from.get_fleet()?)?.to_owned(),
        version: from.get_version(),
        host: name(from.get_host()?)?,
        address: address.parse().map_err(|_| malformed("not an ip:port"))?,
        incarnation: Incarnation(from.get_incarnation()),
        mac: from.get_mac()?.to_vec(),
    })
}
