//! HTTP client of one host. Each request is sent once, without retries, proxies or
//! redirects.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use eyre::{WrapErr, eyre};
use reqwest::{RequestBuilder, StatusCode, header::RETRY_AFTER, redirect, retry};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a request without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Added to the caller's deadline, so that the host's own response to an expired
/// deadline arrives before the timeout.
const TIMEOUT_SLACK: Duration = Duration::from_secs(2);

const DEFAULT_ADDRESS: &str = "127.0.0.1:20101";
const DEFAULT_ADMIN: &str = "127.0.0.1:20201";
const ADDRESS_VAR: &str = "GODWITYARD_ADDRESS";
const ADMIN_VAR: &str = "GODWITYARD_ADMIN";
const TOKEN_VAR: &str = "GODWITYARD_TOKEN";

/// Error of a request to a host.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum ClientError {
    #[error("cannot connect to {address}: {detail}")]
    Unreachable { address: SocketAddr, detail: String },
    #[error("request sent to {address}, but no complete answer received: {detail}")]
    NoAnswer { address: SocketAddr, detail: String },
    #[error("{address} answered {status} with a body that cannot be decoded: {detail}")]
    InvalidBody { address: SocketAddr, status: StatusCode, detail: String },
    /// A request to the administration API failed. The wrapper tells such errors from
    /// those of requests that may have run.
    #[error(transparent)]
    AdminRequest(Box<ClientError>),
    #[error("{address} answered {status}: {detail}")]
    AdminRefused { address: SocketAddr, status: StatusCode, detail: String },
}

pub(crate) struct Client {
    http: reqwest::Client,
    address: SocketAddr,
    token: Option<String>,
}

/// Response with any status, successful or not.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: serde_json::Value,
    /// Value of the `retry-after` header in seconds.
    pub(crate) retry_after_s: Option<u64>,
}

impl Client {
    /// Returns a client of a host's address for callers.
    pub(crate) fn for_callers(address: Option<&str>) -> eyre::Result<Self> {
        Client::new(resolve_address(address, ADDRESS_VAR, DEFAULT_ADDRESS)?, None)
    }

    /// Returns a client of a host's admin address.
    pub(crate) fn for_admin(
        address: Option<&str>,
        token_file: Option<&Path>,
    ) -> eyre::Result<Self> {
        let token = read_token(token_file)?;
        Client::new(resolve_address(address, ADMIN_VAR, DEFAULT_ADMIN)?, token)
    }

    fn new(address: SocketAddr, token: Option<String>) -> eyre::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build()?;
        Ok(Client { http, address, token })
    }

    pub(crate) fn post(&self, path: &str) -> RequestBuilder {
        self.http.post(self.url(path))
    }

    /// Sends a request and waits for the response up to `deadline` and
    /// [`TIMEOUT_SLACK`], or up to [`DEFAULT_TIMEOUT`].
    pub(crate) async fn send(
        &self,
        req: RequestBuilder,
        deadline: Option<Duration>,
    ) -> Result<Response, ClientError> {
        let timeout = deadline.map_or(DEFAULT_TIMEOUT, |it| it + TIMEOUT_SLACK);
        let sent = req.timeout(timeout).send().await;
        let response = sent.map_err(|e| self.send_error(&e))?;
        let status = response.status();
        let retry_after_s = retry_after_s(&response);
        let body = response.bytes().await.map_err(|e| self.send_error(&e))?;
        let body = serde_json::from_slice(&body).map_err(|e| ClientError::InvalidBody {
            address: self.address,
            status,
            detail: e.to_string(),
        })?;
        Ok(Response { status, body, retry_after_s })
    }

    /// Requests `path` from the administration API and returns the body.
    pub(crate) async fn get_admin(&self, path: &str) -> Result<serde_json::Value, ClientError> {
        let mut req = self.http.get(self.url(path));
        if let Some(token) = &self.token {
            req = req.bearer_auth(token);
        }
        let response = self.send(req, None).await;
        let Response { status, body, .. } =
            response.map_err(|e| ClientError::AdminRequest(Box::new(e)))?;
        if status.is_success() {
            return Ok(body);
        }
        let detail = match &body["detail"] {
            serde_json::Value::String(detail) => detail.clone(),
            _ => body.to_string(),
        };
        Err(ClientError::AdminRefused { address: self.address, status, detail })
    }

    /// Decodes the body of a response into `T`.
    pub(crate) fn decode<T: serde::de::DeserializeOwned>(
        &self,
        response: &Response,
    ) -> Result<T, ClientError> {
        T::deserialize(&response.body).map_err(|e| ClientError::InvalidBody {
            address: self.address,
            status: response.status,
            detail: e.to_string(),
        })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn send_error(&self, e: &reqwest::Error) -> ClientError {
        let address = self.address;
        let detail = root_cause(e);
        if e.is_connect() {
            return ClientError::Unreachable { address, detail };
        }
        ClientError::NoAnswer { address, detail }
    }
}

fn retry_after_s(response: &reqwest::Response) -> Option<u64> {
    response.headers().get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}

/// Returns the innermost error, because the outer ones only repeat the URL.
fn root_cause(e: &reqwest::Error) -> String {
    let mut source: &dyn std::error::Error = e;
    while let Some(inner) = source.source() {
        source = inner;
    }
    source.to_string()
}

fn resolve_address(given: Option<&str>, var: &str, default: &str) -> eyre::Result<SocketAddr> {
    let from_env = std::env::var(var).ok();
    let text = given.or(from_env.as_deref()).unwrap_or(default);
    text.parse().map_err(|_| eyre!("invalid address {text:?}; expected IP:PORT"))
}

fn read_token(file: Option<&Path>) -> eyre::Result<Option<String>> {
    let Some(file) = file else { return Ok(std::env::var(TOKEN_VAR).ok()) };
    let text =
        fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
    Ok(Some(text.trim().to_owned()))
}
