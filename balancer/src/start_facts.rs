//! The start facts: what the platform tells a balancer before it serves.
//!
//! Missing or invalid facts are reported in one line, and the program does not start; nothing is guessed.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ochreshed::Parameters;
use ochreshed_policy_runtime::parameters::read_parameters;
use serde_json::Value as Json;

use crate::settings::{self, Headers};

const KB: usize = 1024;

/// A body of at most `MAX_BUFFERED_BODY_BYTES` is held complete. A larger one, up to
/// `MAX_STREAMED_BODY_BYTES`, is streamed and takes `STREAMED_BODY_BUFFER_BYTES` of the memory for bodies.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * KB;
pub const MAX_STREAMED_BODY_BYTES: u64 = 32 << 20;
pub const STREAMED_BODY_BUFFER_BYTES: u32 = 192 * KB as u32;
/// Descriptors that are neither for client connections nor for server connections.
const RESERVED_DESCRIPTORS: usize = 32;
/// Memory for a client connection without a body: its buffers and a partly received head.
const CLIENT_CONNECTION_BYTES: usize = 24 * KB;

pub struct StartFacts {
    /// The file from which they were read.
    pub file: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The address of the operator API, if there is one.
    pub operator_address: Option<SocketAddr>,
    pub seed: u64,
    /// The maximum number of connections from clients, and to servers.
    pub max_client_connections: usize,
    pub max_server_connections: usize,
    /// Memory for the bodies of requests in flight, and as much again for large responses.
    pub max_body_bytes: usize,
    /// The last server list of this balancer, in discovery's format.
    pub known_list: Json,
    pub facts: Parameters,
    /// The headers in which clients give optional facts about a request.
    pub headers: Headers,
    /// Features that the settings allow but this program does not use.
    pub unused_features: Vec<&'static str>,
}

impl StartFacts {
    pub fn read(path: &Path) -> Result<StartFacts, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut facts =
            StartFacts::parse(path, &text).map_err(|error| format!("{}: {error}", path.display()))?;
        if let Some(address) = std::env::var("ROUTER_OPERATOR").ok().filter(|text| !text.is_empty()) {
            let address = address.parse().map_err(|_| "ROUTER_OPERATOR is no address with a port")?;
            facts.operator_address = Some(address);
        }
        Ok(facts)
    }

    fn parse(path: &Path, text: &str) -> Result<StartFacts, String> {
        let mut json: Json = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let text = |name: &str| json[name].as_str().ok_or(format!("{name} is missing or no text"));
        let address = |name: &str| {
            text(name)?.parse::<SocketAddr>().map_err(|_| format!("{name} is no address with a port"))
        };
        let limit = |name: &str| {
            let found = json["limits"][name].as_u64().and_then(|n| usize::try_from(n).ok());
            found.filter(|n| *n > 0).ok_or(format!("limits.{name} is missing or no whole number above 0"))
        };
        let (name, listen, discovery) = (text("name")?.to_owned(), address("listen")?, address("discovery")?);
        let operator_address = match &json["operator"] {
            Json::Null => None,
            _ => Some(address("operator")?),
        };
        settings::check(&json["settings"])?;
        let sockets = limit("sockets")?;
        let shared = sockets.checked_sub(RESERVED_DESCRIPTORS).filter(|n| *n >= 2);
        let shared = shared.ok_or(format!("limits.sockets is under {}", RESERVED_DESCRIPTORS + 2))?;
        // A quarter each is for client connections and for responses, an eighth each for request bodies and
        // for large responses; the last quarter is the program's own.
        let quarter = limit("memory_mb")?.saturating_mul(KB * KB) / 4;
        let max_connections = |bytes_each: usize| (shared / 2).min(quarter / bytes_each).max(1);
        Ok(StartFacts {
            file: path.to_owned(),
            name,
            listen,
            discovery,
            operator_address,
            seed: u64::from_str_radix(text("seed")?, 16).map_err(|_| "seed is no hexadecimal number")?,
            max_client_connections: max_connections(CLIENT_CONNECTION_BYTES),
            max_server_connections: max_connections(MAX_BUFFERED_BODY_BYTES),
            max_body_bytes: (quarter / 2).clamp(1024 * KB, 1 << 30),
            facts: read_parameters(&json["settings"])?,
            headers: settings::headers(&json["headers"])?,
            unused_features: settings::unused(&json["settings"]),
            known_list: json["known"].take(),
        })
    }
}
