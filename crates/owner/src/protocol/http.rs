//! Calls to targets over HTTP/1.1.
//!
//! Each connection has its own `reqwest` client, so that dropping the client
//! closes only that connection. The client resolves its target's name only
//! once. Otherwise it would, unknown to the owner, reopen a connection that has
//! ended, and could send full load to a target that restarted.

use std::{
    net::SocketAddr,
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base::{AttemptId, Incarnation, Outcome, Snapshot};
use policy::owner::{AnswerHead, AttemptResult, LoadReport, NotSent, RefusalKind};
use reqwest::{
    Client, Response, StatusCode,
    dns::{Addrs, Name, Resolve, Resolving},
    header::HeaderMap,
};
use serde::Deserialize;

use super::{ProtocolError, Query, TargetProtocol};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum length of an answer's body. Longer ones count as truncated.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// Maximum length of the answer to a call that is no query.
const MAX_CONTROL_BYTES: usize = 64 << 10;
/// Host name used in URLs for the target of a connection.
const TARGET_HOST: &str = "target";

const ATTEMPT: &str = "godwityard-attempt";
const SERVICE: &str = "godwityard-service";
const POOL: &str = "godwityard-pool";
const SHARD: &str = "godwityard-shard";
const SNAPSHOT: &str = "godwityard-snapshot";
const SNAPSHOTS: &str = "godwityard-snapshots";
const DEADLINE_MS: &str = "godwityard-deadline-ms";
const IDEMPOTENT: &str = "godwityard-idempotent";
const INCARNATION: &str = "godwityard-incarnation";
const STATE: &str = "godwityard-state";
const OUTCOME: &str = "godwityard-outcome";
const STATE_LEAVING: &str = "leaving";

#[derive(Clone, Copy, Debug, Default)]
pub struct HttpProtocol;

/// One TCP connection to a target.
#[derive(Clone, Debug)]
pub struct HttpConnection {
    client: Client,
    /// `http://target:PORT/v1`.
    base_url: Arc<str>,
}

/// Resolver that returns the address of one target once and fails afterwards.
#[derive(Debug)]
struct ResolveOnce {
    address: SocketAddr,
    is_used: AtomicBool,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("connection has ended and is not reopened")]
struct ConnectionEnded;

/// Load report as sent by a target.
#[derive(Debug)]
#[derive(Deserialize)]
struct LoadReportWire {
    incarnation: u64,
    state: String,
    #[serde(default)]
    snapshots: Vec<String>,
    #[serde(default = "default_healthy")]
    healthy: bool,
}

impl TargetProtocol for HttpProtocol {
    type Connection = HttpConnection;

    fn connection(&self, address: SocketAddr) -> Result<HttpConnection, ProtocolError> {
        let resolver = ResolveOnce { address, is_used: AtomicBool::new(false) };
        let client = Client::builder()
            .dns_resolver(Arc::new(resolver))
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(1)
            .pool_idle_timeout(None)
            .build()
            .map_err(|err| ProtocolError::Setup(err.to_string()))?;
        let base_url = format!("http://{TARGET_HOST}:{}/v1", address.port());
        Ok(HttpConnection { client, base_url: base_url.into() })
    }

    async fn report(&self, connection: &HttpConnection) -> Result<LoadReport, ProtocolError> {
        let url = format!("{}/load", connection.base_url);
        let res = connection.client.get(url).send().await.map_err(call_error)?;
        if res.status() != StatusCode::OK {
            return Err(ProtocolError::Status(res.status().as_u16()));
        }
        let body = read_control_body(res).await?;
        let wire: LoadReportWire =
            serde_json::from_slice(&body).map_err(|err| ProtocolError::Report(err.to_string()))?;
        LoadReport::try_from(wire)
    }

    async fn query(&self, connection: &HttpConnection, query: Query) -> AttemptResult {
        let Query { job, time_left } = query;
        let time_left = time_left.as_millis().max(1).to_string();
        let batch = &job.batch;
        let req = connection
            .client
            .post(format!("{}/query", connection.base_url))
            .header(ATTEMPT, job.attempt.to_string())
            .header(SERVICE, batch.service.as_str())
            .header(POOL, batch.pool.as_str())
            .header(SHARD, job.shard.to_string())
            .header(SNAPSHOT, batch.snapshot.to_string())
            .header(DEADLINE_MS, time_left)
            .header(IDEMPOTENT, if batch.is_idempotent { "true" } else { "false" })
            .body(batch.body.to_vec());
        match req.send().await {
            Ok(res) => read_result(res).await,
            Err(err) if err.is_connect() || err.is_builder() => {
                AttemptResult::NotSent(NotSent::ConnectionClosed)
            }
            Err(_) => AttemptResult::Lost,
        }
    }

    async fn cancel(
        &self,
        connection: &HttpConnection,
        attempt: AttemptId,
    ) -> Result<(), ProtocolError> {
        let url = format!("{}/attempts/{attempt}", connection.base_url);
        let res = connection.client.delete(url).send().await.map_err(call_error)?;
        // The connection can be reused only after the body was read.
        read_control_body(res).await?;
        Ok(())
    }
}

impl Resolve for ResolveOnce {
    fn resolve(&self, _name: Name) -> Resolving {
        let is_used = self.is_used.swap(true, Ordering::Relaxed);
        let address = self.address;
        Box::pin(async move {
            if is_used {
                return Err(ConnectionEnded.into());
            }
            let addresses: Addrs = Box::new(std::iter::once(address));
            Ok(addresses)
        })
    }
}

impl TryFrom<LoadReportWire> for LoadReport {
    type Error = ProtocolError;

    fn try_from(wire: LoadReportWire) -> Result<Self, ProtocolError> {
        let snapshots = wire.snapshots.iter().map(|it| it.parse::<Snapshot>());
        let snapshots = snapshots.collect::<Result<Vec<_>, _>>();
        Ok(LoadReport {
            incarnation: Incarnation(wire.incarnation),
            is_leaving: wire.state == STATE_LEAVING,
            is_healthy: wire.healthy,
            snapshots: snapshots.map_err(|err| ProtocolError::Report(err.to_string()))?,
        })
    }
}

/// Reads the answer to a call that is no query, piece by piece, so that one without end fills
/// no memory.
async fn read_control_body(mut res: Response) -> Result<Vec<u8>, ProtocolError> {
    let mut body = Vec::new();
    while let Some(piece) = res.chunk().await.map_err(call_error)? {
        if body.len() + piece.len() > MAX_CONTROL_BYTES {
            return Err(ProtocolError::TooLong(MAX_CONTROL_BYTES));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body)
}

async fn read_result(res: Response) -> AttemptResult {
    let status = res.status();
    let head = read_head(res.headers());
    let outcome = parse_header::<Outcome>(res.headers(), OUTCOME);
    // Without a length, a truncated answer would look complete.
    let announced = res.content_length().filter(|&it| it <= MAX_ANSWER_BYTES);
    let Some(announced) = announced else { return AttemptResult::Truncated };
    let Ok(body) = res.bytes().await else { return AttemptResult::Truncated };
    if body.len() as u64 != announced {
        return AttemptResult::Truncated;
    }
    if status == StatusCode::OK {
        return AttemptResult::Answer { head, body: Arc::from(&body[..]) };
    }
    AttemptResult::Refusal { head, kind: refusal_kind(status), outcome }
}

fn read_head(headers: &HeaderMap) -> AnswerHead {
    let snapshots = header(headers, SNAPSHOTS).map(|text| {
        let listed = text.split(',').map(str::trim).filter(|it| !it.is_empty());
        listed.filter_map(|it| it.parse::<Snapshot>().ok()).collect()
    });
    AnswerHead {
        attempt: parse_header(headers, ATTEMPT),
        shard: parse_header(headers, SHARD),
        snapshot: parse_header(headers, SNAPSHOT),
        incarnation: parse_header(headers, INCARNATION),
        is_leaving: header(headers, STATE) == Some(STATE_LEAVING),
        snapshots,
    }
}

fn refusal_kind(status: StatusCode) -> RefusalKind {
    match status.as_u16() {
        409 => RefusalKind::SnapshotNotHeld,
        410 => RefusalKind::Leaving,
        499 => RefusalKind::Cancelled,
        503 => RefusalKind::Shed,
        504 => RefusalKind::DeadlinePassed,
        _ => RefusalKind::Error,
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header(headers, name)?.parse().ok()
}

fn call_error(err: reqwest::Error) -> ProtocolError {
    ProtocolError::Call(err.to_string())
}

fn default_healthy() -> bool {
    true
}
