//! The help pages of the mesh's subcommands, and the mesh's part of `ochreshed help`.
//!
//! Invariant: the pages are part of the program's interface; integration tests compare them with fixtures word for
//! word.

/// The mesh's part of `ochreshed help`.
pub const HELP: &str = "    ochreshed attendant [--settings FILE]
                                      serve a branch of the mesh until SIGTERM
    ochreshed steward [--settings FILE]
                                      serve a sorting machine of the mesh until SIGTERM
    ochreshed settings [--settings FILE]
                                      read and check the settings of a mesh process, say what they amount to, and exit
    ochreshed hollow --count N --inner PORT --seed ADDRESS
                                      load a mesh with attendants that have no data plane, to measure its control plane
    ochreshed nodes --at ADDRESS      the stewards and attendants that the steward there knows
    ochreshed upstreams --at ADDRESS  the servers of each line, and how they do
    ochreshed timetable read|replace FILE|history|diff FILE --at ADDRESS
                                      the timetable in force, a new one, those before, or what a new one would change
    ochreshed members read|replace FILE|diff FILE --at ADDRESS
                                      the register of members, a new one, or what a new one would change
    ochreshed member NAME read|plan FILE|replace FILE|diff FILE|status|history|undo|settle|withdraw
                     --key FILE --at ADDRESS
                                      a member's own routes, and how a change of them stands
    ochreshed keys [KEY] --at ADDRESS how a tracking key stands, or how many are open, unknown and done
    ochreshed budget --at ADDRESS     what is known of the allowance for retries
    ochreshed session show|move|forget ID --service S --header H --at ADDRESS
                                      where a person's session is; have another gate take it; begin it anew
    ochreshed drain UPSTREAM --at ADDRESS
                                      send nothing new to that server
                                      each of these has --help; without --settings OCHRESHED_SETTINGS names the file
";

pub(super) const PROXY: &str = "\
ochreshed attendant [--settings FILE]

Serves a branch of the mesh, its app and its gates, until SIGTERM.

    --settings FILE    the settings (TOML); without it OCHRESHED_SETTINGS names the file
    -h, --help         this page
";

pub(super) const REPLICA: &str = "\
ochreshed steward [--settings FILE]

Serves a sorting machine of the mesh, which keeps the timetable and the registry, until SIGTERM.

    --settings FILE    the settings (TOML); without it OCHRESHED_SETTINGS names the file
    -h, --help         this page
";

pub(super) const SETTINGS: &str = "\
ochreshed settings [--settings FILE]

Reads and checks the settings of a mesh process, and prints what they amount to or all that is wrong with them.

    --settings FILE    the settings (TOML); without it OCHRESHED_SETTINGS names the file
    -h, --help         this page
";

pub(super) const LOAD_GENERATOR: &str = "\
ochreshed hollow --count N --inner PORT --seed ADDRESS [--seed ADDRESS] [--first K] [--services S]

Loads a mesh of one's own with N attendants in one process that watch, send heartbeats, report and claim keys, and have
no data plane. Not for a mesh in service: their upstreams do not exist, and requests sent there fail.

Commands on standard input, a line each: changes N (records that change a second), claims N (keys a second), figures
(prints: figures ATTENDANTS RECORDS CLAIMS MISSED MEAN_US), end. Prints `version V MS` once all have a configuration.

    --count N          how many attendants, 1 to 5000
    --inner PORT       the first of the mesh's inner_ports
    --seed ADDRESS     the control gate of a steward, as 10.1.0.13:8306
    --first K          the number of the first one, where several processes load one mesh; 0 without it
    --services S       how many services their upstreams are of, 1 to 1000; 10 without it
    -h, --help         this page
";

pub(super) const NODES: &str = "\
ochreshed nodes --at ADDRESS [--at ADDRESS] [--json]

Prints the stewards and attendants that the steward knows, who votes, and how long ago each was heard.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

pub(super) const UPSTREAMS: &str = "\
ochreshed upstreams --at ADDRESS [--at ADDRESS] [--json]

Prints the servers of each line, and how they do.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

pub(super) const CONFIGURATION: &str = "\
ochreshed timetable read --at ADDRESS [--at ADDRESS] [--json]
ochreshed timetable replace FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed timetable history --at ADDRESS [--at ADDRESS] [--json]
ochreshed timetable diff FILE --at ADDRESS [--at ADDRESS] [--json]

Prints the timetable in force, puts the one of FILE in its place, prints the editions on the disk of the steward that
answers, or prints what the one of FILE would change. FILE is checked before anything is sent; - is the standard input.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

pub(super) const MEMBERS: &str = "\
ochreshed members read --at ADDRESS [--at ADDRESS] [--json]
ochreshed members replace FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed members diff FILE --at ADDRESS [--at ADDRESS] [--json]

Prints the platform's register of members, puts the one of FILE in its place, or prints what the one of FILE would
change. FILE is checked before anything is sent; - is the standard input.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

pub(super) const MEMBER: &str = "\
ochreshed member NAME read --key FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed member NAME plan FILE --key FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed member NAME replace FILE --key FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed member NAME diff FILE --key FILE --at ADDRESS [--at ADDRESS] [--json]
ochreshed member NAME status|history|undo|settle|withdraw --key FILE --at ADDRESS [--at ADDRESS] [--json]

The routes of the member NAME:
    read               print its document in force
    plan FILE          print what the document of FILE would change and what forbids it; ends with 1 if anything does
    replace FILE       put the document of FILE in its place; where it has a trial, on a share of the nodes first
    diff FILE          print how the document of FILE differs from the one in force
    status             print the editions in force, what is trimmed, and which nodes have which edition
    history            print the editions on the disk of the steward that answers
    undo               withdraw the running trial, or put the document before the current one in force again
    settle             put the running trial in force everywhere, now
    withdraw           take the running trial back, now
FILE is checked before anything is sent; - is the standard input.

    --key FILE         where the member's key stands, alone on a line; it is sent to the steward
    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

pub(super) const KEYS: &str = "\
ochreshed keys [KEY] --at ADDRESS [--at ADDRESS] [--json]

Prints how the tracking key KEY stands at the steward that answers, or without one how many are open, unknown and done
there, and the age of the oldest open one. A KEY that begins with - goes after --.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

pub(super) const BUDGET: &str = "\
ochreshed budget --at ADDRESS [--at ADDRESS] [--json]

Prints what all gates have sent, sent again and not sent again for want of allowance, by service, in the budget's
window, and what the rules leave.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

pub(super) const SESSION: &str = "\
ochreshed session count --at ADDRESS [--at ADDRESS] [--json]
ochreshed session show ID --service S --header H --at ADDRESS [--at ADDRESS] [--json]
ochreshed session move ID --to DOOR --service S --header H --at ADDRESS [--at ADDRESS] [--json]
ochreshed session forget ID --service S --header H --at ADDRESS [--at ADDRESS] [--json]

Prints how many sessions the steward holds, or where the one is whose header H says ID to the service S; has the gate
of the machine with the inbound gate DOOR take it; or drops it, so that its next req is tied anew. ID is hashed here
and not sent. An ID that begins with - goes after --.

    --service S        the line that the route sends to
    --header H         the header that the route names as its session
    --to DOOR          the inbound gate of the machine that is to have it
    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";

pub(super) const DRAIN: &str = "\
ochreshed drain UPSTREAM --at ADDRESS [--at ADDRESS] [--json]

Has nothing new sent to the server UPSTREAM; what it was sent is let finish. It lasts until that server starts again,
and can't be taken back.

    --at ADDRESS       the control gate of a steward, as 10.1.0.13:8306; of several, the first that answers is asked
    --json             print JSON
    -h, --help         this page
";
