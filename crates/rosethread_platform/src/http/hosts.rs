//! HTTP adapter for the host list.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;

use crate::{HostEntry, HostList};

/// The timeout for reading the host list.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(2);

/// A host list that is served as JSON at `/hosts`.
pub struct HttpHosts {
    client: reqwest::Client,
    url: String,
}

impl HttpHosts {
    /// Returns the host list that is served at `address`.
    pub fn new(client: reqwest::Client, address: SocketAddr) -> HttpHosts {
        HttpHosts { client, url: format!("http://{address}/hosts") }
    }
}

#[async_trait]
impl HostList for HttpHosts {
    async fn hosts(&self) -> Option<Vec<HostEntry>> {
        let response = self.client.get(&self.url).timeout(HOSTS_TIMEOUT).send().await.ok()?;
        response.error_for_status().ok()?.json().await.ok()
    }
}
