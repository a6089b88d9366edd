//! HTTP implementation of [`Platform`].

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::Revision;
use reqwest::{Client, Response, StatusCode, redirect, retry};
use serde::de::DeserializeOwned;

use crate::{
    Index, ListedHost, Platform, PlatformError, StoredDocument,
    wire::{WireHosts, WireIndex, revision},
};

/// Timeout of a request, in addition to the requested wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response body. A document may be a megabyte long,
/// and so may the index of a large fleet.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

const REVISION_HEADER: &str = "godwityard-revision";

/// Header with the epoch of the revision; absent until the platform is first restored.
const EPOCH_HEADER: &str = "godwityard-epoch";

/// Client of one replica of the platform's service.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    base_url: Arc<str>,
}

impl HttpPlatform {
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        let client = Client::builder()
            .retry(retry::never())
            .no_proxy()
            .redirect(redirect::Policy::none())
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(2)
            .build()
            .map_err(PlatformError::Unreachable)?;
        Ok(HttpPlatform { client, base_url: format!("http://{address}").into() })
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Response, PlatformError> {
        let url = format!("{}{path}", self.base_url);
        self.client.get(url).timeout(timeout).send().await.map_err(PlatformError::Unreachable)
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        let response = self.get(path, timeout).await?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(PlatformError::Status(status.as_u16()));
        }
        let body = read_body(response).await?;
        serde_json::from_slice(&body).map_err(|err| PlatformError::Malformed(err.to_string()))
    }
}

impl Platform for HttpPlatform {
    async fn read_index(&self, after: Revision, wait: Duration) -> Result<Index, PlatformError> {
        let (epoch, number) = (after.epoch(), after.number());
        let wait_ms = wait.as_millis();
        let path = format!("/v1/documents?after={number}&epoch={epoch}&wait_ms={wait_ms}");
        let wire: WireIndex = self.get_json(&path, wait + RESPONSE_TIMEOUT).await?;
        wire.try_into()
    }

    async fn read_document(&self, key: &str) -> Result<Option<StoredDocument>, PlatformError> {
        let response = self.get(&format!("/v1/documents/{key}"), RESPONSE_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => (),
            StatusCode::NOT_FOUND => return Ok(None),
            status => return Err(PlatformError::Status(status.as_u16())),
        }
        let revision = revision_of(&response)?;
        let body = read_body(response).await?;
        let text = String::from_utf8(body)
            .map_err(|_| PlatformError::Malformed("the document is not UTF-8".to_owned()))?;
        Ok(Some(StoredDocument { revision, text: text.into() }))
    }

    async fn read_hosts(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let wire: WireHosts = self.get_json("/v1/hosts", RESPONSE_TIMEOUT).await?;
        wire.try_into()
    }
}

fn revision_of(response: &Response) -> Result<Revision, PlatformError> {
    let epoch = number(response, EPOCH_HEADER)?.unwrap_or(0);
    let number = number(response, REVISION_HEADER)?.ok_or_else(|| malformed(REVISION_HEADER))?;
    revision(epoch, number)
}

/// Returns the number in a header, if there is one.
fn number(response: &Response, header: &str) -> Result<Option<u64>, PlatformError> {
    let Some(value) = response.headers().get(header) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|it| it.parse().ok());
    number.map(Some).ok_or_else(|| malformed(header))
}

fn malformed(header: &str) -> PlatformError {
    PlatformError::Malformed(format!("no valid {header} header"))
}

/// Reads a body chunk by chunk, so that an oversized one cannot exhaust memory.
async fn read_body(mut response: Response) -> Result<Vec<u8>, PlatformError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(PlatformError::Unreachable)? {
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(PlatformError::TooLong(MAX_RESPONSE_BYTES));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
