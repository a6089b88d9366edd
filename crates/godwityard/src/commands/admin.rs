//! `status` and `explain`: views of the administration API.

use std::io::Write;

use base::RequestId;
use eyre::{bail, eyre};
use serde_json::Value;

use crate::{
    args::{Explain, Status},
    client::Client,
    output::{Exit, print_json, print_value},
};

const VIEWS: [&str; 5] = ["status", "domains", "targets", "services", "decisions"];

pub(crate) async fn status(args: &Status, out: &mut impl Write) -> eyre::Result<Exit> {
    let view = args.view.as_str();
    if !VIEWS.contains(&view) {
        bail!("unknown view {view:?}; expected one of: {}", VIEWS.join(", "));
    }
    let client = Client::for_admin(args.admin.as_deref(), args.token_file.as_deref())?;
    let body = client.get_admin(&format!("/v1/{view}")).await?;
    print(out, &body, args.json)
}

pub(crate) async fn explain(args: &Explain, out: &mut impl Write) -> eyre::Result<Exit> {
    let request: RequestId = args
        .request
        .parse()
        .map_err(|_| eyre!("invalid request id {:?}; expected 32 hex digits", args.request))?;
    let client = Client::for_admin(args.admin.as_deref(), args.token_file.as_deref())?;
    let body = client.get_admin(&format!("/v1/explain/{request}")).await?;
    print(out, &body, args.json)
}

fn print(out: &mut impl Write, body: &Value, json: bool) -> eyre::Result<Exit> {
    if json {
        print_json(out, body)?;
    } else {
        print_value(out, body)?;
    }
    Ok(Exit::Success)
}
