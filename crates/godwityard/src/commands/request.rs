//! `query`, `ticket` and `execute`: requests to a service.

use std::{
    fs,
    io::{self, Read, Write},
    path::{Path, PathBuf},
    time::Duration,
};

use base::name;
use eyre::{WrapErr, bail, ensure};
use reqwest::RequestBuilder;
use serde_json::Value;

use crate::{
    args::{Execute, Query, Ticket},
    client::{Client, ClientError, Response},
    output::{Exit, print_json, replace_control_chars},
    wire::{Answer, MintedTicket, Part, Refusal},
};

const DEADLINE_HEADER: &str = "godwityard-deadline-ms";
const MIN_COVERAGE_HEADER: &str = "godwityard-min-coverage";
const TICKET_HEADER: &str = "godwityard-ticket";
const SHARD_HEADER: &str = "godwityard-shard";

pub(crate) async fn query(args: Query, out: &mut impl Write) -> eyre::Result<Exit> {
    let client = Client::for_callers(args.address.as_deref())?;
    let mut req = post(&client, &args.service, "query")?.body(read_body(args.body, args.file)?);
    if let Some(ratio) = args.min_coverage {
        ensure!((0.0..=1.0).contains(&ratio), "--min-coverage is {ratio}; expected 0.0 to 1.0");
        req = req.header(MIN_COVERAGE_HEADER, ratio.to_string());
    }
    let options = RequestOptions { shard: args.shard, deadline_ms: args.deadline_ms };
    let response = options.send(&client, req).await?;
    print_answer(out, &client, &response, args.json)
}

pub(crate) async fn ticket(args: &Ticket, out: &mut impl Write) -> eyre::Result<Exit> {
    let client = Client::for_callers(args.address.as_deref())?;
    let response = client.send(post(&client, &args.service, "tickets")?, None).await?;
    if !response.status.is_success() {
        return print_refusal(out, &client, &response, args.json);
    }
    let minted: MintedTicket = client.decode(&response)?;
    if args.json {
        print_json(out, &response.body)?;
    } else {
        writeln!(out, "{}", replace_control_chars(&minted.ticket))?;
    }
    Ok(Exit::Success)
}

pub(crate) async fn execute(args: Execute, out: &mut impl Write) -> eyre::Result<Exit> {
    let client = Client::for_callers(args.address.as_deref())?;
    let is_header_safe = args.ticket.bytes().all(|it| it.is_ascii_graphic());
    ensure!(
        is_header_safe && !args.ticket.is_empty(),
        "invalid ticket {:?}; expected visible ASCII characters",
        args.ticket
    );
    let req = post(&client, &args.service, "execute")?
        .header(TICKET_HEADER, &args.ticket)
        .body(read_body(args.body, args.file)?);
    let options = RequestOptions { shard: args.shard, deadline_ms: args.deadline_ms };
    let response = options.send(&client, req).await?;
    print_answer(out, &client, &response, args.json)
}

/// Options that `query` and `execute` share.
struct RequestOptions {
    shard: Option<u32>,
    deadline_ms: Option<u64>,
}

impl RequestOptions {
    async fn send(
        &self,
        client: &Client,
        mut req: RequestBuilder,
    ) -> Result<Response, ClientError> {
        if let Some(shard) = self.shard {
            req = req.header(SHARD_HEADER, shard);
        }
        if let Some(millis) = self.deadline_ms {
            req = req.header(DEADLINE_HEADER, millis);
        }
        client.send(req, self.deadline_ms.map(Duration::from_millis)).await
    }
}

fn post(client: &Client, service: &str, action: &str) -> eyre::Result<RequestBuilder> {
    ensure!(name::is_valid(service), "invalid service name {service:?}");
    Ok(client.post(&format!("/v1/services/{service}/{action}")))
}

fn read_body(text: Option<String>, file: Option<PathBuf>) -> eyre::Result<Vec<u8>> {
    match (text, file) {
        (Some(_), Some(_)) => bail!("both a body and --file given; expected at most one"),
        (Some(text), None) => Ok(text.into_bytes()),
        (None, Some(file)) if file == Path::new("-") => {
            let mut buf = Vec::new();
            io::stdin().read_to_end(&mut buf).wrap_err("cannot read standard input")?;
            Ok(buf)
        }
        (None, Some(file)) => {
            fs::read(&file).wrap_err_with(|| format!("cannot read {}", file.display()))
        }
        (None, None) => Ok(Vec::new()),
    }
}

fn print_answer(
    out: &mut impl Write,
    client: &Client,
    response: &Response,
    json: bool,
) -> eyre::Result<Exit> {
    if !response.status.is_success() {
        return print_refusal(out, client, response, json);
    }
    let answer: Answer = client.decode(response)?;
    if json {
        print_json(out, &response.body)?;
    } else {
        print_parts(out, &answer)?;
    }
    Ok(if answer.coverage.is_full() { Exit::Success } else { Exit::Partial })
}

fn print_parts(out: &mut impl Write, answer: &Answer) -> io::Result<()> {
    let Answer { request, snapshot, coverage, parts } = answer;
    writeln!(out, "request   {}", replace_control_chars(request))?;
    writeln!(out, "snapshot  {}", replace_control_chars(snapshot))?;
    writeln!(out, "coverage  {} of {} shards", coverage.answered, coverage.total)?;
    for missing in &coverage.missing {
        writeln!(
            out,
            "missing   shard {}: {}",
            missing.shard,
            replace_control_chars(&missing.reason)
        )?;
    }
    for part in parts {
        writeln!(out, "shard {}: {}", part.shard, part_body(part))?;
    }
    Ok(())
}

fn part_body(part: &Part) -> String {
    match (&part.body_hex, &part.body) {
        (Some(hex), _) => format!("0x{}", replace_control_chars(hex)),
        (None, Value::String(text)) => replace_control_chars(text),
        (None, other) => other.to_string(),
    }
}

fn print_refusal(
    out: &mut impl Write,
    client: &Client,
    response: &Response,
    json: bool,
) -> eyre::Result<Exit> {
    let refusal: Refusal = client.decode(response)?;
    if json {
        print_json(out, &response.body)?;
    } else {
        let Refusal { request, reason, outcome, detail } = &refusal;
        writeln!(
            out,
            "refused   {} ({})",
            replace_control_chars(reason),
            response.status.as_u16()
        )?;
        writeln!(out, "outcome   {}", replace_control_chars(outcome))?;
        writeln!(out, "request   {}", replace_control_chars(request))?;
        writeln!(out, "detail    {}", replace_control_chars(detail))?;
        if let Some(seconds) = response.retry_after_s {
            writeln!(out, "retry     after {seconds} s")?;
        }
    }
    Ok(if refusal.is_not_run() { Exit::Refused } else { Exit::MayHaveRun })
}
