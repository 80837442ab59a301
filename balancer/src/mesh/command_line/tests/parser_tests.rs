use super::super::*;
use expect_test::expect;

fn parsed(line: &str) -> Option<Result<Command, LineError>> {
    parse(line.split_whitespace().map(OsString::from).collect())
}

fn said(lines: &[&str]) -> String {
    let answer = |line: &&str| match parsed(line) {
        None => format!("{line} -> older\n"),
        Some(Ok(command)) => format!("{line} -> {command:?}\n"),
        Some(Err(LineError::Help(page))) => {
            format!("{line} -> help: {}\n", page.lines().next().unwrap_or_default())
        }
        Some(Err(why)) => format!("{line} -> {why}\n"),
    };
    lines.iter().map(answer).collect()
}

#[test]
fn what_is_asked_for_is_handed_on() {
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
            attendant -> Attendant { settings: None }
            attendant --settings a.toml -> Attendant { settings: Some("a.toml") }
            steward --settings=/etc/ochreshed/local.toml -> Steward { settings: Some("/etc/ochreshed/local.toml") }
            settings -> Settings { settings: None }
            nodes --at 10.1.0.13:8306 --at 10.2.0.10:8306 -> Client { at: [10.1.0.13:8306, 10.2.0.10:8306], json: false, what: Nodes }
            upstreams --json --at=10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: true, what: Upstreams }
            timetable read --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: TimetableRead }
            timetable --at 10.1.0.13:8306 replace r7.json -> Client { at: [10.1.0.13:8306], json: false, what: TimetableReplace("r7.json") }
            timetable replace - --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: TimetableReplace("-") }
            timetable history --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: TimetableHistory }
            --json timetable diff r7.json --at 10.1.0.13:8306 -> older
            timetable diff r7.json --at 10.1.0.13:8306 --json -> Client { at: [10.1.0.13:8306], json: true, what: TimetableDiff("r7.json") }
            keys --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: Keys(None) }
            keys k-5512 --at [::1]:8306 -> Client { at: [[::1]:8306], json: false, what: Keys(Some("k-5512")) }
            keys --at 10.1.0.13:8306 -- --json -> Client { at: [10.1.0.13:8306], json: false, what: Keys(Some("--json")) }
            budget --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: Budget }
            session count --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: Session(None) }
            session show p-17 --service cobro --header X-Person --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: Session(Some(SessionCall { verb: "show", id: "p-17", service: "cobro", header: "X-Person", to: None })) }
            session move p-17 --to 10.1.0.14:8300 --service cobro --header X-Person --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: Session(Some(SessionCall { verb: "move", id: "p-17", service: "cobro", header: "X-Person", to: Some(10.1.0.14:8300) })) }
            drain i-7f3a91c2 --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: Drain("i-7f3a91c2") }
            members replace m.json --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: Members(Replace("m.json")) }
            member norte plan r7.json --key=k --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: Member { name: "norte", what: Plan("r7.json"), key: Some("k") } }
            member norte undo --at 10.1.0.13:8306 -> Client { at: [10.1.0.13:8306], json: false, what: Member { name: "norte", what: Undo, key: None } }
            drain --help -> help: ochreshed drain UPSTREAM --at ADDRESS [--at ADDRESS] [--json]
            timetable replace -h --wrong -> help: ochreshed timetable read --at ADDRESS [--at ADDRESS] [--json]
        "#]].assert_eq(&said(&lines));
}

#[test]
fn what_is_not_understood_is_named() {
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
        "#]].assert_eq(&said(&lines));
}

#[test]
fn the_rest_is_left_to_the_older_line() {
    let lines =
        ["", "serve", "fleet --at 127.0.0.1:7000", "check", "snapshot show x", "--help", "-V", "moon"];
    assert!(lines.iter().all(|line| parsed(line).is_none()), "{}", said(&lines));
    expect![[r#"
            stewrad -> there is no command stewrad; steward is near; see `ochreshed help`
            atendant --settings x -> there is no command atendant; attendant is near; see `ochreshed help`
            node -> there is no command node; nodes is near; see `ochreshed help`
            serv -> older
            chek -> older
            key -> there is no command key; keys is near; see `ochreshed help`
        "#]]
    .assert_eq(&said(&["stewrad", "atendant --settings x", "node", "serv", "chek", "key"]));
}

#[test]
#[cfg(unix)]
fn any_bytes_are_taken() {
    use std::os::unix::ffi::OsStringExt;
    let odd = || OsString::from_vec(vec![b'-', 0xff]);
    assert_eq!(parse(vec![odd()]), None);
    for (name, _) in WORDS {
        for before in [None, Some("--at"), Some("--settings"), Some("--"), Some("replace")] {
            let args = [Some(OsString::from(name)), before.map(OsString::from), Some(odd())];
            let args: Vec<_> = args.into_iter().flatten().collect();
            assert!(matches!(parse(args.clone()), Some(Err(_))), "{args:?}");
        }
    }
    let file = OsString::from_vec(vec![b'a', 0xff]);
    let args = vec!["steward".into(), "--settings".into(), file.clone()];
    assert_eq!(parse(args), Some(Ok(Command::Steward { settings: Some(PathBuf::from(file)) })));
}

#[test]
fn every_command_has_its_help() {
    for (name, page) in WORDS {
        assert!(page.starts_with(&format!("ochreshed {name}")), "{name}");
        assert!(HELP.contains(&format!("    ochreshed {name} ")), "{name}");
        assert!(page.lines().chain(HELP.lines()).all(|line| line.len() <= 120), "{name}");
    }
}
