//! What the tests of the program on sockets share: the program beside stand-in srvs and a stand-in discovery that
//! the test itself plays, on ports that the system picks, and a short trace of what passed.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use expect_test::Expect;
use socket2::{Domain, Socket, Type};

/// Nothing here takes as long as this unless it fails.
pub const LONG: Duration = Duration::from_secs(10);

pub const RULE_SETS: &str = r#"[
    {"Name":"read","Effect":"repeatable","ResponseTarget":2000.0,"ClientTimeout":3000.0,"Utility":1.0,"TardyUtility":0.2},
    {"Name":"move","Effect":"by_key","DedupScope":"zone","Window":5000.0,"ResponseTarget":2000.0,
     "ClientTimeout":3000.0,"Utility":2.0,"TardyUtility":0.2},
    {"Name":"pay","Effect":"once","ResponseTarget":2000.0,"ClientTimeout":3000.0,"Utility":3.0,"TardyUtility":0.2}]"#;

pub struct Balancer {
    pub process: Child,
    pub facts: PathBuf,
    /// Its operator's own file of a fleet.
    pub fleet: Option<PathBuf>,
    pub log: Receiver<String>,
    /// Lines that were taken off it on the way to others.
    pub passed: Vec<String>,
    pub address: SocketAddr,
    pub discovery: TcpListener,
    /// Where it answers operators; nowhere unless the facts say so.
    pub operator: Option<SocketAddr>,
    /// Its `$TMPDIR`.
    pub folder: PathBuf,
    pub descriptors: u32,
    /// Keeps its port from others.
    port: Arc<Socket>,
}

/// A port that the system picks, and what keeps it for balancers: bound, but listening to nobody.
fn port() -> (Arc<Socket>, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).and_then(|()| socket.set_reuse_port(true)).expect("options");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = socket.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    (Arc::new(socket), address)
}

pub fn facts_file(facts: &str) -> PathBuf {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("facts-{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, facts).expect("a file of facts");
    path
}

/// With so many descriptors at the most, whatever the facts say.
pub fn start(facts: &Path, descriptors: u32) -> Child {
    command(facts, descriptors, None).spawn().expect("the program")
}

fn command(facts: &Path, descriptors: u32, fleet: Option<&Path>) -> Command {
    let mut command = Command::new("sh");
    let further = if fleet.is_some() { " --fleet \"$2\"" } else { "" };
    command.arg("-c").arg(format!("ulimit -n {descriptors}; exec \"$0\" serve --facts \"$1\"{further}"));
    command.arg(env!("CARGO_BIN_EXE_ochreshed")).arg(facts).args(fleet).env_remove("ROUTER_OPERATOR");
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    command
}

/// What a balancer is told beside the list.
pub struct Given {
    pub name: &'static str,
    /// Its operator's own file of a fleet.
    pub fleet: Option<PathBuf>,
    pub sockets: u32,
    pub descriptors: u32,
    pub memory_mb: u32,
    /// It answers operators, at a port that the system picks.
    pub operator: bool,
    /// Further facts, each with a comma behind it; and the settings but for their rule sets, likewise.
    pub more: &'static str,
    pub settings: &'static str,
}

/// The shape of deployment that the tests are of unless they say otherwise.
pub const SETTINGS: &str = r#""NInstances":1,"Me":0,"Tier":0,"Tiers":["one"],"Discovery":"ask",
    "Limits":{"MaxDispatches":3,"Cancelling":true,"ConnectTimeout":500.0,"ConnIdle":15000.0},"#;

impl Default for Given {
    fn default() -> Given {
        Given {
            name: "n1",
            fleet: None,
            sockets: 1024,
            descriptors: 1024,
            memory_mb: 192,
            operator: false,
            more: "",
            settings: SETTINGS,
        }
    }
}

/// Entries `name@zone`, all of them reached at one stand-in.
pub fn entries(names: &str, srv: &TcpListener) -> String {
    let address = srv.local_addr().expect("an address");
    let entry = |name: &str| {
        let (name, zone) = name.split_once('@').expect("name@zone");
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"{zone}","cell":1,"lifecycle":"SERVING",
                "weight":1.0,"startedAtMs":0}}"#
        )
    };
    names.split(' ').map(entry).collect::<Vec<_>>().join(",")
}

impl Balancer {
    /// Before these srvs of the last of its tiers.
    pub fn start(names: &str, srv: &TcpListener) -> Balancer {
        Balancer::within(1024, 1024, names, srv)
    }

    /// Told of so many sockets, and with so many descriptors.
    pub fn within(sockets: u32, descriptors: u32, names: &str, srv: &TcpListener) -> Balancer {
        Balancer::given(Given { sockets, descriptors, ..Given::default() }, names, srv)
    }

    pub fn given(given: Given, names: &str, srv: &TcpListener) -> Balancer {
        let known = entries(names, srv);
        Balancer::knowing(given, &known)
    }

    /// That starts with this list.
    pub fn knowing(given: Given, known: &str) -> Balancer {
        let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
        let Given { name, fleet, sockets, descriptors, memory_mb, operator, more, settings } = given;
        let (port, listen) = port();
        let facts = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{}","seed":"2a",{}{more}
                "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
                "known":{{"generation":41,"reset":true,"instances":[{}]}},
                "settings":{{{settings}"RuleSets":{RULE_SETS}}}}}"#,
            discovery.local_addr().expect("an address"),
            if operator { r#""operator":"127.0.0.1:0","# } else { "" },
            known,
        );
        let facts = facts_file(&facts);
        let folder = facts.with_extension("tmp");
        std::fs::create_dir_all(&folder).expect("a folder");
        Balancer::run((facts, fleet), folder, descriptors, discovery, operator, port)
    }

    fn run(
        (facts, fleet): (PathBuf, Option<PathBuf>),
        folder: PathBuf,
        descriptors: u32,
        discovery: TcpListener,
        operator: bool,
        port: Arc<Socket>,
    ) -> Balancer {
        let mut process = command(&facts, descriptors, fleet.as_deref())
            .env("TMPDIR", &folder)
            .spawn()
            .expect("the program");
        let lines = BufReader::new(process.stderr.take().expect("its log")).lines();
        let (said, log) = channel();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| said.send(line)));
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut balancer = Balancer {
            process,
            facts,
            fleet,
            folder,
            log,
            passed: Vec::new(),
            address,
            discovery,
            operator: None,
            descriptors,
            port,
        };
        let place = |line: String| line.rsplit(' ').next().and_then(|a| a.parse().ok());
        if operator {
            balancer.operator = place(balancer.logged("operators on "));
        }
        balancer.address = place(balancer.logged(" on 127.0.0.1:")).expect("where it listens");
        balancer
    }

    /// One more process of the same balancer, at the same address and with the same folder.
    pub fn beside(&self) -> Balancer {
        let discovery = self.discovery.try_clone().expect("a listener");
        let (facts, folder, operator) = (self.facts.clone(), self.folder.clone(), self.operator.is_some());
        Balancer::run(
            (facts, self.fleet.clone()),
            folder,
            self.descriptors,
            discovery,
            operator,
            self.port.clone(),
        )
    }

    /// The first line of an operator's call, and its body.
    pub fn ask(&self, call: &str) -> (String, String) {
        let mut stream = TcpStream::connect(self.operator.expect("a door")).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        write!(stream, "{call} HTTP/1.1\r\nHost: operator\r\n\r\n").expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
        (head.lines().next().unwrap_or_default().replace("HTTP/1.1 ", ""), body.to_owned())
    }

    /// A figure of the page, by its name.
    pub fn figure(&self, name: &str) -> u64 {
        let (_, page) = self.ask("GET /api/telemetry");
        let line = page.lines().find_map(|line| line.strip_prefix(&format!("app.{name}:")));
        let value = line.and_then(|line| line.split('|').next()).and_then(|value| value.parse().ok());
        value.unwrap_or_else(|| panic!("no {name} in {page}"))
    }

    /// Waits until a figure has this value.
    pub fn until(&self, name: &str, value: u64) {
        let until = Instant::now() + LONG;
        while self.figure(name) != value {
            assert!(Instant::now() < until, "{name} is {}, not {value}", self.figure(name));
        }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream
    }

    pub fn send(&self, message: &str) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(message.as_bytes()).expect("sent");
        stream
    }

    pub fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// The next line of its log that holds this.
    pub fn logged(&mut self, what: &str) -> String {
        loop {
            let line = self.log.recv_timeout(LONG).expect("another line");
            if line.contains(what) {
                return line;
            }
            self.passed.push(line);
        }
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("a listener");
    let until = Instant::now() + LONG;
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(why) => assert!(Instant::now() < until, "nobody connects: {why}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    stream.set_nonblocking(false).expect("a stream");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    stream
}

/// One message whole, as text; empty when the connection ends before it begins.
pub fn read(stream: &mut TcpStream) -> String {
    let (mut message, mut byte) = (Vec::new(), [0]);
    while !message.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(0) => return String::from_utf8_lossy(&message).into(),
            Ok(_) => message.push(byte[0]),
            Err(why) => return format!("no more: {:?}", why.kind()),
        }
    }
    let head = String::from_utf8_lossy(&message).into_owned();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a length"))];
    stream.read_exact(&mut body).expect("a body");
    head + &String::from_utf8_lossy(&body)
}

pub fn answer(stream: &mut TcpStream, message: &str) {
    stream.write_all(message.as_bytes()).expect("answered");
}

/// A stand-in that answers everything that comes, on each connection, with this.
pub fn answering(listener: &TcpListener, message: impl Into<String>) {
    let (listener, message) = (listener.try_clone().expect("a listener"), message.into());
    listener.set_nonblocking(false).expect("a listener");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, message) = (stream.expect("a stream"), message.clone());
            std::thread::spawn(move || {
                while !read(&mut stream).is_empty() && stream.write_all(message.as_bytes()).is_ok() {}
            });
        }
    });
}

/// Discovery's whole list.
pub fn list(generation: u32, entries: &str) -> String {
    let body = format!(r#"{{"generation":{generation},"reset":true,"instances":[{entries}]}}"#);
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

pub const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: service\r\n\r\n";
pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-mark: 7\r\n\r\ngood";
pub const CUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngo";
pub const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n";

pub fn req(method: &str, path: &str, budget: &str, body: &str) -> String {
    let class = path.split('/').nth(1).unwrap_or_default();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: service\r\nX-Call-Id: c0ffee\r\nX-Call-Class: {class}\r\n\
         X-Budget: {budget}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[derive(Default)]
pub struct Trace(pub String);

impl Trace {
    /// A message without what differs from run to run.
    pub fn message(&mut self, who: &str, message: &str) {
        let varies = |line: &&str| {
            !["date:", "host:", "x-budget:"].iter().any(|name| line.to_lowercase().starts_with(name))
        };
        let lines: Vec<&str> = message.split("\r\n").filter(varies).filter(|line| !line.is_empty()).collect();
        writeln!(self.0, "{who}: {}", lines.join(" | ").trim_end()).expect("a String takes it");
    }

    pub fn first_line(&mut self, who: &str, message: &str) {
        self.message(who, message.lines().next().unwrap_or("nothing"));
    }

    /// A new connection, and the first line that comes on it.
    pub fn accepted(&mut self, who: &str, listener: &TcpListener) -> TcpStream {
        let mut stream = accept(listener);
        self.first_line(who, &read(&mut stream));
        stream
    }

    pub fn check(&self, expected: Expect) {
        expected.assert_eq(&self.0);
    }
}

/// What the program says that is to refuse its start; it is ended if it does not.
pub fn refused(facts: &Path, fleet: &Path) -> String {
    let mut process = command(facts, 1024, Some(fleet)).spawn().expect("the program");
    let until = Instant::now() + LONG;
    let ended = loop {
        match process.try_wait().expect("its state") {
            Some(status) => break !status.success(),
            None if Instant::now() > until => break false,
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    };
    // It has ended, or is to.
    let _ = process.kill();
    let output = process.wait_with_output().expect("its end");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(ended, "it started: {said}");
    said
}

/// Where an instance may listen for others: free for both kinds of sockets a moment ago.
pub fn free() -> SocketAddr {
    loop {
        let socket = UdpSocket::bind("127.0.0.3:0").expect("a port");
        let address = socket.local_addr().expect("an address");
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A stand-in for discovery that tells this list, and nothing more.
pub fn tells(discovery: &TcpListener, answer: String) {
    let discovery = discovery.try_clone().expect("a listener");
    discovery.set_nonblocking(false).expect("a listener");
    std::thread::spawn(move || {
        for stream in discovery.incoming() {
            let (mut stream, answer) = (stream.expect("a stream"), answer.clone());
            std::thread::spawn(move || {
                while !read(&mut stream).is_empty() && stream.write_all(answer.as_bytes()).is_ok() {
                    std::thread::sleep(Duration::from_millis(300));
                }
            });
        }
    });
}

/// Waits until it is so.
pub fn until(what: &str, is: impl Fn() -> bool) {
    let until = Instant::now() + 2 * LONG;
    while !is() {
        assert!(Instant::now() < until, "never {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
