//! What a command line can ask for: [`Command`], and for the operators' client [`ClientCommand`].

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::help;
use crate::mesh::hollow::HollowOptions;

/// The first word of a command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subcommand {
    Attendant,
    Steward,
    Settings,
    Hollow,
    Nodes,
    Upstreams,
    Timetable,
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
        Subcommand::Attendant,
        Subcommand::Steward,
        Subcommand::Settings,
        Subcommand::Hollow,
        Subcommand::Nodes,
        Subcommand::Upstreams,
        Subcommand::Timetable,
        Subcommand::Members,
        Subcommand::Member,
        Subcommand::Keys,
        Subcommand::Budget,
        Subcommand::Session,
        Subcommand::Drain,
    ];

    /// The word on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Subcommand::Attendant => "attendant",
            Subcommand::Steward => "steward",
            Subcommand::Settings => "settings",
            Subcommand::Hollow => "hollow",
            Subcommand::Nodes => "nodes",
            Subcommand::Upstreams => "upstreams",
            Subcommand::Timetable => "timetable",
            Subcommand::Members => "members",
            Subcommand::Member => "member",
            Subcommand::Keys => "keys",
            Subcommand::Budget => "budget",
            Subcommand::Session => "session",
            Subcommand::Drain => "drain",
        }
    }

    /// The page that `--help` shows.
    pub fn help(self) -> &'static str {
        match self {
            Subcommand::Attendant => help::ATTENDANT,
            Subcommand::Steward => help::STEWARD,
            Subcommand::Settings => help::SETTINGS,
            Subcommand::Hollow => help::HOLLOW,
            Subcommand::Nodes => help::NODES,
            Subcommand::Upstreams => help::UPSTREAMS,
            Subcommand::Timetable => help::TIMETABLE,
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

/// A command line that was understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the data plane beside an upstream.
    Attendant { settings: Option<PathBuf> },
    /// Run a replica of the control plane.
    Steward { settings: Option<PathBuf> },
    /// Check a settings file.
    Settings { settings: Option<PathBuf> },
    /// Load a control plane with attendants that have no data plane.
    Hollow(HollowOptions),
    /// Ask the replicas of the control plane.
    Client {
        /// The control addresses to ask, in this order.
        replicas: Vec<SocketAddr>,
        /// Whether to print the answer as JSON.
        json: bool,
        /// What to ask for.
        command: ClientCommand,
    },
}

/// What an operator asks of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientCommand {
    /// The replicas and attendants.
    Nodes,
    /// The upstreams of each service.
    Upstreams,
    /// The configuration.
    Configuration(ConfigurationCommand),
    /// How one idempotency key stands.
    Key(String),
    /// How many idempotency keys there are in each state.
    KeyCounts,
    /// One session.
    Session(SessionCommand),
    /// How many sessions there are.
    SessionCounts,
    /// The retry budget.
    Budget,
    /// Drain an upstream.
    Drain { upstream: String },
    /// The register of members.
    Members(RegisterCommand),
    /// One member's own routes.
    Member {
        /// The member's name.
        name: String,
        /// What to do with its routes.
        command: MemberCommand,
        /// The file that holds the member's key.
        key_file: Option<PathBuf>,
    },
}

/// What is asked of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationCommand {
    /// Print the one in force.
    Read,
    /// Put the one of a file in its place.
    Replace(PathBuf),
    /// Print the versions on a replica's disk.
    History,
    /// Print what the one of a file would change.
    Diff(PathBuf),
}

/// What is asked of the register of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterCommand {
    /// Print the one in force.
    Read,
    /// Put the one of a file in its place.
    Replace(PathBuf),
    /// Print what the one of a file would change.
    Diff(PathBuf),
}

/// What is asked of one member's own routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberCommand {
    /// Print the member's document in force.
    Read,
    /// Print what the document of a file would change, and what forbids it.
    Plan(PathBuf),
    /// Put the document of a file in place of the one in force.
    Replace(PathBuf),
    /// Print how the document of a file differs from the one in force.
    Diff(PathBuf),
    /// Print the versions in force, and which nodes have which.
    Status,
    /// Print the versions on a replica's disk.
    History,
    /// End the running canary, or put the document before the current one in force again.
    Undo,
    /// Put the running canary in force everywhere.
    Settle,
    /// End the running canary.
    Withdraw,
}

/// A session, and what to do with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionCommand {
    /// What to do with the session.
    pub action: SessionAction,
    /// The value of the header. It names a person, so it is only sent as a hash.
    pub id: String,
    /// The service that the route sends to.
    pub service: String,
    /// The header that the route names as its session.
    pub header: String,
}

/// What to do with a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionAction {
    /// Print where it is.
    Show,
    /// Have the attendant with this inbound address take it.
    Move {
        /// The inbound address.
        target: SocketAddr,
    },
    /// Drop it, so that its next request is bound anew.
    Forget,
}
