use std::ffi::OsString;
use std::path::PathBuf;

use expect_test::expect;

use crate::mesh::command_line::commands::Subcommand;
use crate::mesh::command_line::{Command, CommandLineError, HELP, parse};

fn parse_line(line: &str) -> Option<Result<Command, CommandLineError>> {
    parse(line.split_whitespace().map(OsString::from).collect())
}

fn parse_results(lines: &[&str]) -> String {
    let result = |line: &&str| match parse_line(line) {
        None => format!("{line} -> other parser\n"),
        Some(Ok(command)) => format!("{line} -> {command:?}\n"),
        Some(Err(CommandLineError::HelpRequested { page })) => {
            format!("{line} -> help: {}\n", page.lines().next().unwrap_or_default())
        }
        Some(Err(error)) => format!("{line} -> {error}\n"),
    };
    lines.iter().map(result).collect()
}

#[test]
fn parses_every_command() {
    let lines = [
        "attendant",
        "attendant --settings a.toml",
        "steward --settings=/etc/ochreshed/local.toml",
        "settings",
        "nodes --at 10.1.0.13:8306 --at 10.2.0.10:8306",
        "upstreams --json --at=10.1.0.13:8306",
        "timetable read --at 10.1.0.13:8306",
        "timetable --at 10.1.0.13:8306 replace r7.json",
        "timetable replace - --at 10.1.0.13:8306",
        "timetable history --at 10.1.0.13:8306",
        "--json timetable diff r7.json --at 10.1.0.13:8306",
        "timetable diff r7.json --at 10.1.0.13:8306 --json",
        "keys --at 10.1.0.13:8306",
        "keys k-5512 --at [::1]:8306",
        "keys --at 10.1.0.13:8306 -- --json",
        "budget --at 10.1.0.13:8306",
        "session count --at 10.1.0.13:8306",
        "session show p-17 --service cobro --header X-Person --at 10.1.0.13:8306",
        "session move p-17 --to 10.1.0.14:8300 --service cobro --header X-Person --at 10.1.0.13:8306",
        "drain i-7f3a91c2 --at 10.1.0.13:8306",
        "members replace m.json --at 10.1.0.13:8306",
        "member norte plan r7.json --key=k --at 10.1.0.13:8306",
        "member norte undo --at 10.1.0.13:8306",
        "drain --help",
        "timetable replace -h --wrong",
    ];
    expect![[r#"
        attendant -> Proxy { settings: None }
        attendant --settings a.toml -> Proxy { settings: Some("a.toml") }
        steward --settings=/etc/ochreshed/local.toml -> Replica { settings: Some("/etc/ochreshed/local.toml") }
        settings -> Settings { settings: None }
        nodes --at 10.1.0.13:8306 --at 10.2.0.10:8306 -> Client { replicas: [10.1.0.13:8306, 10.2.0.10:8306], json: false, command: Nodes }
        upstreams --json --at=10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: true, command: Upstreams }
        timetable read --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: Configuration(Read) }
        timetable --at 10.1.0.13:8306 replace r7.json -> Client { replicas: [10.1.0.13:8306], json: false, command: Configuration(Replace("r7.json")) }
        timetable replace - --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: Configuration(Replace("-")) }
        timetable history --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: Configuration(History) }
        --json timetable diff r7.json --at 10.1.0.13:8306 -> other parser
        timetable diff r7.json --at 10.1.0.13:8306 --json -> Client { replicas: [10.1.0.13:8306], json: true, command: Configuration(Diff("r7.json")) }
        keys --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: KeyCounts }
        keys k-5512 --at [::1]:8306 -> Client { replicas: [[::1]:8306], json: false, command: Key("k-5512") }
        keys --at 10.1.0.13:8306 -- --json -> Client { replicas: [10.1.0.13:8306], json: false, command: Key("--json") }
        budget --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: Budget }
        session count --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: SessionCounts }
        session show p-17 --service cobro --header X-Person --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: Session(SessionCommand { action: Show, id: "p-17", service: "cobro", header: "X-Person" }) }
        session move p-17 --to 10.1.0.14:8300 --service cobro --header X-Person --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: Session(SessionCommand { action: Move { target: 10.1.0.14:8300 }, id: "p-17", service: "cobro", header: "X-Person" }) }
        drain i-7f3a91c2 --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: Drain { upstream: "i-7f3a91c2" } }
        members replace m.json --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: MemberRegister(Replace("m.json")) }
        member norte plan r7.json --key=k --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: Member { name: "norte", command: Plan("r7.json"), key_file: Some("k") } }
        member norte undo --at 10.1.0.13:8306 -> Client { replicas: [10.1.0.13:8306], json: false, command: Member { name: "norte", command: RestorePrevious, key_file: None } }
        drain --help -> help: ochreshed drain UPSTREAM --at ADDRESS [--at ADDRESS] [--json]
        timetable replace -h --wrong -> help: ochreshed timetable read --at ADDRESS [--at ADDRESS] [--json]
    "#]].assert_eq(&parse_results(&lines));
}

#[test]
fn errors_name_the_rejected_argument() {
    let lines = [
        "attendant a.toml",
        "attendant --setings a.toml",
        "attendant --settings",
        "attendant --settings --json",
        "steward --settings a.toml --settings b.toml",
        "steward --at 10.1.0.13:8306",
        "nodes",
        "nodes --at",
        "nodes --at here",
        "nodes --at 0.0.0.0:8306",
        "nodes --at 10.1.0.13:0",
        "nodes --at 10.1.0.13:8306 --jsno",
        "nodes --at 10.1.0.13:8306 more and more",
        "timetable --at 10.1.0.13:8306",
        "timetable replcae r7.json --at 10.1.0.13:8306",
        "timetable moon --at 10.1.0.13:8306",
        "timetable replace --at 10.1.0.13:8306",
        "timetable read r7.json --at 10.1.0.13:8306",
        "keys one two --at 10.1.0.13:8306",
        "drain --at 10.1.0.13:8306",
        "members history --at 10.1.0.13:8306",
        "members read --key k --at 10.1.0.13:8306",
        "member --at 10.1.0.13:8306",
        "member norte --at 10.1.0.13:8306",
        "member norte plan --at 10.1.0.13:8306",
        "member norte setle --key a --at 10.1.0.13:8306",
        "member norte undo --key a --key b --at 10.1.0.13:8306",
    ];
    expect![[r#"
            attendant a.toml -> attendant has no a.toml; see `ochreshed attendant --help`
            attendant --setings a.toml -> attendant has no --setings; --settings is near; see `ochreshed attendant --help`
            attendant --settings -> --settings wants a value; see `ochreshed attendant --help`
            attendant --settings --json -> --settings wants a value; see `ochreshed attendant --help`
            steward --settings a.toml --settings b.toml -> --settings is given more than once; see `ochreshed steward --help`
            steward --at 10.1.0.13:8306 -> steward has no --at; see `ochreshed steward --help`
            nodes -> nodes wants --at ADDRESS, the control gate of a steward; see `ochreshed nodes --help`
            nodes --at -> --at wants a value; see `ochreshed nodes --help`
            nodes --at here -> --at wants an IP number and a port, and here is none; see `ochreshed nodes --help`
            nodes --at 0.0.0.0:8306 -> --at wants an IP number and a port, and 0.0.0.0:8306 is none; see `ochreshed nodes --help`
            nodes --at 10.1.0.13:0 -> --at wants an IP number and a port, and 10.1.0.13:0 is none; see `ochreshed nodes --help`
            nodes --at 10.1.0.13:8306 --jsno -> nodes has no --jsno; --json is near; see `ochreshed nodes --help`
            nodes --at 10.1.0.13:8306 more and more -> nodes has no more and more; see `ochreshed nodes --help`
            timetable --at 10.1.0.13:8306 -> timetable wants read, replace FILE, history or diff FILE; see `ochreshed timetable --help`
            timetable replcae r7.json --at 10.1.0.13:8306 -> timetable has no replcae; replace is near; see `ochreshed timetable --help`
            timetable moon --at 10.1.0.13:8306 -> timetable has no moon; see `ochreshed timetable --help`
            timetable replace --at 10.1.0.13:8306 -> timetable wants a FILE to replace it with; see `ochreshed timetable --help`
            timetable read r7.json --at 10.1.0.13:8306 -> timetable has no r7.json; see `ochreshed timetable --help`
            keys one two --at 10.1.0.13:8306 -> keys has no two; see `ochreshed keys --help`
            drain --at 10.1.0.13:8306 -> drain wants an UPSTREAM; see `ochreshed drain --help`
            members history --at 10.1.0.13:8306 -> members has no history; see `ochreshed members --help`
            members read --key k --at 10.1.0.13:8306 -> members has no --key; see `ochreshed members --help`
            member --at 10.1.0.13:8306 -> member wants the NAME of a member; see `ochreshed member --help`
            member norte --at 10.1.0.13:8306 -> member wants read, plan FILE, replace FILE, diff FILE, status, history, undo, settle or withdraw; see `ochreshed member --help`
            member norte plan --at 10.1.0.13:8306 -> member wants a FILE to plan with; see `ochreshed member --help`
            member norte setle --key a --at 10.1.0.13:8306 -> member has no setle; settle is near; see `ochreshed member --help`
            member norte undo --key a --key b --at 10.1.0.13:8306 -> --key is given more than once; see `ochreshed member --help`
        "#]].assert_eq(&parse_results(&lines));
}

#[test]
fn leaves_other_commands_to_the_other_parser() {
    let lines =
        ["", "serve", "fleet --at 127.0.0.1:7000", "check", "snapshot show x", "--help", "-V", "moon"];
    assert!(lines.iter().all(|line| parse_line(line).is_none()), "{}", parse_results(&lines));
    expect![[r#"
            stewrad -> there is no command stewrad; steward is near; see `ochreshed help`
            atendant --settings x -> there is no command atendant; attendant is near; see `ochreshed help`
            node -> there is no command node; nodes is near; see `ochreshed help`
            serv -> other parser
            chek -> other parser
            key -> there is no command key; keys is near; see `ochreshed help`
        "#]]
    .assert_eq(&parse_results(&["stewrad", "atendant --settings x", "node", "serv", "chek", "key"]));
}

#[test]
#[cfg(unix)]
fn handles_arguments_that_are_not_utf8() {
    use std::os::unix::ffi::OsStringExt;
    let invalid_utf8 = || OsString::from_vec(vec![b'-', 0xff]);
    assert_eq!(parse(vec![invalid_utf8()]), None);
    for name in Subcommand::ALL.map(Subcommand::name) {
        for before in [None, Some("--at"), Some("--settings"), Some("--"), Some("replace")] {
            let args = [Some(OsString::from(name)), before.map(OsString::from), Some(invalid_utf8())];
            let args: Vec<_> = args.into_iter().flatten().collect();
            assert!(matches!(parse(args.clone()), Some(Err(_))), "{args:?}");
        }
    }
    let file = OsString::from_vec(vec![b'a', 0xff]);
    let args = vec!["steward".into(), "--settings".into(), file.clone()];
    assert_eq!(parse(args), Some(Ok(Command::Replica { settings: Some(PathBuf::from(file)) })));
}

#[test]
fn every_command_has_a_help_page() {
    for (name, page) in Subcommand::ALL.map(|command| (command.name(), command.help())) {
        assert!(page.starts_with(&format!("ochreshed {name}")), "{name}");
        assert!(HELP.contains(&format!("    ochreshed {name} ")), "{name}");
        assert!(page.lines().chain(HELP.lines()).all(|line| line.len() <= 120), "{name}");
    }
}
