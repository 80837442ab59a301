//! Parsed command lines: [`Command`], and [`ClientCommand`] for the operators' client.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::help;
use crate::mesh::load_generator::LoadGeneratorOptions;

/// The subcommand that a command line begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subcommand {
    Proxy,
    Replica,
    Settings,
    LoadGenerator,
    Nodes,
    Upstreams,
    Configuration,
    Members,
    Member,
    Keys,
    Budget,
    Session,
    Drain,
}

impl Subcommand {
    /// All subcommands, in the order of the help page.
    pub const ALL: [Subcommand; 13] = [
        Subcommand::Proxy,
        Subcommand::Replica,
        Subcommand::Settings,
        Subcommand::LoadGenerator,
        Subcommand::Nodes,
        Subcommand::Upstreams,
        Subcommand::Configuration,
        Subcommand::Members,
        Subcommand::Member,
        Subcommand::Keys,
        Subcommand::Budget,
        Subcommand::Session,
        Subcommand::Drain,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Subcommand::Proxy => "attendant",
            Subcommand::Replica => "steward",
            Subcommand::Settings => "settings",
            Subcommand::LoadGenerator => "hollow",
            Subcommand::Nodes => "nodes",
            Subcommand::Upstreams => "upstreams",
            Subcommand::Configuration => "timetable",
            Subcommand::Members => "members",
            Subcommand::Member => "member",
            Subcommand::Keys => "keys",
            Subcommand::Budget => "budget",
            Subcommand::Session => "session",
            Subcommand::Drain => "drain",
        }
    }

    /// The help page that `--help` prints.
    pub fn help(self) -> &'static str {
        match self {
            Subcommand::Proxy => help::PROXY,
            Subcommand::Replica => help::REPLICA,
            Subcommand::Settings => help::SETTINGS,
            Subcommand::LoadGenerator => help::LOAD_GENERATOR,
            Subcommand::Nodes => help::NODES,
            Subcommand::Upstreams => help::UPSTREAMS,
            Subcommand::Configuration => help::CONFIGURATION,
            Subcommand::Members => help::MEMBERS,
            Subcommand::Member => help::MEMBER,
            Subcommand::Keys => help::KEYS,
            Subcommand::Budget => help::BUDGET,
            Subcommand::Session => help::SESSION,
            Subcommand::Drain => help::DRAIN,
        }
    }
}

impl fmt::Display for Subcommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A valid command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the data plane beside an upstream.
    Proxy { settings: Option<PathBuf> },
    /// Run a replica of the control plane.
    Replica { settings: Option<PathBuf> },
    /// Check a settings file.
    Settings { settings: Option<PathBuf> },
    /// Load a control plane with simulated attendants that have no data plane.
    LoadGenerator(LoadGeneratorOptions),
    /// Call the replicas of the control plane.
    Client {
        /// Control addresses, in the order in which they are tried.
        replicas: Vec<SocketAddr>,
        /// Whether to print the response as JSON.
        json: bool,
        /// The call to make.
        command: ClientCommand,
    },
}

/// A command of the operators' client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientCommand {
    /// List the replicas and attendants.
    Nodes,
    /// List the upstreams of each service.
    Upstreams,
    /// Read, replace or compare the configuration.
    Configuration(ConfigurationCommand),
    /// Print the lease on one idempotency key.
    Key(String),
    /// Count the idempotency keys in each state.
    KeyCounts,
    /// Print or change one session.
    Session(SessionCommand),
    /// Count the sessions.
    SessionCounts,
    /// Print the use of the retry budget.
    Budget,
    /// Drain an upstream.
    Drain { upstream: String },
    /// Read, replace or compare the member register.
    MemberRegister(MemberRegisterCommand),
    /// Read or change one member's own routes.
    Member {
        /// The member's name.
        name: String,
        /// The operation on its routes.
        command: MemberCommand,
        /// The file that holds the member's key.
        key_file: Option<PathBuf>,
    },
}

/// An operation on the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationCommand {
    /// Print the document in force.
    Read,
    /// Replace the document in force with the one in a file.
    Replace(PathBuf),
    /// Print the versions stored on a replica's disk.
    History,
    /// Print how the document in a file differs from the one in force.
    Diff(PathBuf),
}

/// An operation on the member register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberRegisterCommand {
    /// Print the document in force.
    Read,
    /// Replace the document in force with the one in a file.
    Replace(PathBuf),
    /// Print how the document in a file differs from the one in force.
    Diff(PathBuf),
}

/// An operation on one member's own routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberCommand {
    /// Print the member's document in force.
    Read,
    /// Print what the document in a file would change, and which of its parts are forbidden.
    Plan(PathBuf),
    /// Replace the document in force with the one in a file.
    Replace(PathBuf),
    /// Print how the document in a file differs from the one in force.
    Diff(PathBuf),
    /// Print the versions in force and the nodes that run each of them.
    Status,
    /// Print the versions stored on a replica's disk.
    History,
    /// Withdraw the running canary, or restore the previous document if none is running.
    RestorePrevious,
    /// Promote the running canary to all nodes.
    PromoteCanary,
    /// Withdraw the running canary.
    WithdrawCanary,
}

/// An operation on one session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionCommand {
    /// The operation.
    pub action: SessionAction,
    /// The value of the session header. It identifies a person, so only its hash is sent.
    pub id: String,
    /// The service that the route targets.
    pub service: String,
    /// The session header that the route is configured with.
    pub header: String,
}

/// The operations on a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionAction {
    /// Print its owner and binding.
    Show,
    /// Move it to the attendant with this inbound address.
    Move {
        /// The inbound address.
        target: SocketAddr,
    },
    /// Delete it, so that its next request is bound again.
    Forget,
}
