//! Settings of the platform's services.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Addresses of the key-value service's HTTP gateway.
    pub key_value: Vec<SocketAddr>,
    /// Address of the VM list.
    #[serde(default)]
    pub vm_list: Option<SocketAddr>,
    /// Address of the weight store.
    #[serde(default)]
    pub weight_store: Option<SocketAddr>,
    /// Prefix of this fleet's keys in the key-value service.
    #[serde(default = "default_prefix")]
    pub prefix: String,
}

fn default_prefix() -> String {
    "/parsleybeam/".into()
}
