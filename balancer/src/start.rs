//! The start facts: what the platform tells a balancer before it serves. It owns reading and checking them and
//! must never fall back on a guess: what is missing or unreadable is a plain line and no start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ochreshed::Parameters;
use ochreshed_policy_runtime::parameters::read_parameters;
use serde_json::Value as Json;

use crate::settings::{self, Headers};

const KB: usize = 1024;

/// A body of up to so many bytes is kept whole. A longer one, up to the most, is passed on as it comes and takes so
/// much of the memory for bodies.
pub const MOST_BODY: usize = 64 * KB;
pub const MOST_LONG: u64 = 32 << 20;
pub const PER_LONG: u32 = 192 * KB as u32;
/// Descriptors kept for what is neither a caller's connection nor a srv's.
const SPARE_SOCKETS: usize = 32;
/// What a caller's connection costs in memory beside a body: its buffers, and a head that is coming.
const PER_CALLER: usize = 24 * KB;

pub struct StartFacts {
    /// The file they were read from.
    pub file: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators are answered, if anywhere.
    pub operator: Option<SocketAddr>,
    pub seed: u64,
    /// Connections from callers, and to srvs.
    pub most_in: usize,
    pub most_out: usize,
    /// Bytes of reqs' bodies in hand, all together, and of long answers.
    pub most_bodies: usize,
    /// The list as this balancer last had it, in discovery's form.
    pub known: Json,
    pub facts: Parameters,
    /// Where callers tell more of a req.
    pub headers: Headers,
    /// What the settings allow and is not done here.
    pub unused: Vec<&'static str>,
}

impl StartFacts {
    pub fn read(path: &Path) -> Result<StartFacts, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut facts = StartFacts::parse(path, &text).map_err(|why| format!("{}: {why}", path.display()))?;
        if let Some(address) = std::env::var("ROUTER_OPERATOR").ok().filter(|text| !text.is_empty()) {
            let address = address.parse().map_err(|_| "ROUTER_OPERATOR is no address with a port")?;
            facts.operator = Some(address);
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
        let operator = match &json["operator"] {
            Json::Null => None,
            _ => Some(address("operator")?),
        };
        settings::check(&json["settings"])?;
        let sockets = limit("sockets")?;
        let shared = sockets.checked_sub(SPARE_SOCKETS).filter(|n| *n >= 2);
        let shared = shared.ok_or(format!("limits.sockets is under {}", SPARE_SOCKETS + 2))?;
        // A quarter each for callers and for answers, an eighth each for reqs' bodies and for large answers; the
        // last is the program's own.
        let quarter = limit("memory_mb")?.saturating_mul(KB * KB) / 4;
        let most = |each: usize| (shared / 2).min(quarter / each).max(1);
        Ok(StartFacts {
            file: path.to_owned(),
            name,
            listen,
            discovery,
            operator,
            seed: u64::from_str_radix(text("seed")?, 16).map_err(|_| "seed is no hexadecimal number")?,
            most_in: most(PER_CALLER),
            most_out: most(MOST_BODY),
            most_bodies: (quarter / 2).clamp(1024 * KB, 1 << 30),
            facts: read_parameters(&json["settings"])?,
            headers: settings::headers(&json["headers"])?,
            unused: settings::unused(&json["settings"]),
            known: json["known"].take(),
        })
    }
}
