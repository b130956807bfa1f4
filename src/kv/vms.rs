//! HTTP client of the platform's VM list.

use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;

use super::http::{Http, read_only};
use super::{VmInfo, VmList};
use crate::error::Result;

/// Client of the VM list, bound to the arbiter that created it.
pub struct HttpVmList {
    http: Http,
}

impl HttpVmList {
    /// Creates a client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: Http::new(vec![address]) }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<VmInfo>>> {
        Box::pin(async { read_only(self.http.get("/v1/vms").await) })
    }
}
