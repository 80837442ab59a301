//! Helpers for tests that run the balancer as a process against stub endpoints and a stub discovery service. Ports are
//! assigned by the system, and messages are recorded in a short trace.

// Each test binary uses only part of this module.
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

/// Timeout of a single step; no step takes this long unless it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub const RULE_SETS: &str = r#"[
    {"Name":"read","Effect":"repeatable","ResponseTarget":2000.0,"ClientTimeout":3000.0,"Utility":1.0,"TardyUtility":0.2},
    {"Name":"move","Effect":"by_key","DedupScope":"zone","Window":5000.0,"ResponseTarget":2000.0,
     "ClientTimeout":3000.0,"Utility":2.0,"TardyUtility":0.2},
    {"Name":"pay","Effect":"once","ResponseTarget":2000.0,"ClientTimeout":3000.0,"Utility":3.0,"TardyUtility":0.2}]"#;

pub struct Balancer {
    pub process: Child,
    pub facts_path: PathBuf,
    /// The operator's fleet file.
    pub fleet_path: Option<PathBuf>,
    pub log_lines: Receiver<String>,
    /// Log lines read while waiting for a later one.
    pub skipped_log_lines: Vec<String>,
    pub address: SocketAddr,
    pub discovery: TcpListener,
    /// Address of the operator API, if the facts enable it.
    pub operator_address: Option<SocketAddr>,
    /// The process's `$TMPDIR`.
    pub temp_dir: PathBuf,
    pub max_descriptors: u32,
    /// Keeps the port reserved for this balancer.
    reserved_port: Arc<Socket>,
}

/// Reserves a port that the system assigns: the socket is bound with address and port reuse, but does not listen.
fn reserve_port() -> (Arc<Socket>, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).and_then(|()| socket.set_reuse_port(true)).expect("options");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = socket.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    (Arc::new(socket), address)
}

pub fn write_facts_file(facts: &str) -> PathBuf {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("facts-{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, facts).expect("write facts file");
    path
}

/// Starts the program with this limit on file descriptors, whatever the facts say.
pub fn spawn_program(facts: &Path, descriptors: u32) -> Child {
    program_command(facts, descriptors, None).spawn().expect("the program")
}

fn program_command(facts: &Path, descriptors: u32, fleet: Option<&Path>) -> Command {
    let mut command = Command::new("sh");
    let fleet_option = if fleet.is_some() { " --fleet \"$2\"" } else { "" };
    command.arg("-c").arg(format!("ulimit -n {descriptors}; exec \"$0\" serve --facts \"$1\"{fleet_option}"));
    command.arg(env!("CARGO_BIN_EXE_ochreshed")).arg(facts).args(fleet).env_remove("ROUTER_OPERATOR");
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Configuration of a balancer, apart from its list of endpoints.
pub struct BalancerOptions {
    pub name: &'static str,
    /// The operator's fleet file.
    pub fleet_path: Option<PathBuf>,
    pub max_sockets: u32,
    pub max_descriptors: u32,
    pub memory_mb: u32,
    /// Whether the operator API is served, on a port that the system assigns.
    pub has_operator_api: bool,
    /// Further facts in JSON, each followed by a comma.
    pub extra_facts: &'static str,
    /// Settings in JSON without the rule sets, each followed by a comma.
    pub settings: &'static str,
}

/// Deployment settings used unless a test overrides them.
pub const DEFAULT_SETTINGS: &str = r#""NInstances":1,"Me":0,"Tier":0,"Tiers":["one"],"Discovery":"ask",
    "Limits":{"MaxDispatches":3,"Cancelling":true,"ConnectTimeout":500.0,"ConnIdle":15000.0},"#;

impl Default for BalancerOptions {
    fn default() -> BalancerOptions {
        BalancerOptions {
            name: "n1",
            fleet_path: None,
            max_sockets: 1024,
            max_descriptors: 1024,
            memory_mb: 192,
            has_operator_api: false,
            extra_facts: "",
            settings: DEFAULT_SETTINGS,
        }
    }
}

/// Discovery entries for space-separated `name@zone` pairs, all with the address of one stub endpoint.
pub fn endpoint_entries(names: &str, endpoint: &TcpListener) -> String {
    let address = endpoint.local_addr().expect("an address");
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
    /// Starts a balancer with default options and these endpoints.
    pub fn start(names: &str, endpoint: &TcpListener) -> Balancer {
        Balancer::start_with_limits(1024, 1024, names, endpoint)
    }

    /// Starts a balancer whose facts allow this many sockets and whose process allows this many descriptors.
    pub fn start_with_limits(
        max_sockets: u32,
        max_descriptors: u32,
        names: &str,
        endpoint: &TcpListener,
    ) -> Balancer {
        let options = BalancerOptions { max_sockets, max_descriptors, ..BalancerOptions::default() };
        Balancer::start_with_options(options, names, endpoint)
    }

    pub fn start_with_options(options: BalancerOptions, names: &str, endpoint: &TcpListener) -> Balancer {
        let entries = endpoint_entries(names, endpoint);
        Balancer::start_with_entries(options, &entries)
    }

    /// Starts a balancer whose facts hold this list of endpoints.
    pub fn start_with_entries(options: BalancerOptions, entries: &str) -> Balancer {
        let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
        let BalancerOptions {
            name,
            fleet_path,
            max_sockets,
            max_descriptors,
            memory_mb,
            has_operator_api,
            extra_facts,
            settings,
        } = options;
        let (reserved_port, listen) = reserve_port();
        let facts = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{}","seed":"2a",{}{extra_facts}
                "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{max_sockets}}},
                "known":{{"generation":41,"reset":true,"instances":[{}]}},
                "settings":{{{settings}"RuleSets":{RULE_SETS}}}}}"#,
            discovery.local_addr().expect("an address"),
            if has_operator_api { r#""operator":"127.0.0.1:0","# } else { "" },
            entries,
        );
        let facts_path = write_facts_file(&facts);
        let temp_dir = facts_path.with_extension("tmp");
        std::fs::create_dir_all(&temp_dir).expect("create temporary directory");
        Balancer::spawn(
            (facts_path, fleet_path),
            temp_dir,
            max_descriptors,
            discovery,
            has_operator_api,
            reserved_port,
        )
    }

    fn spawn(
        (facts_path, fleet_path): (PathBuf, Option<PathBuf>),
        temp_dir: PathBuf,
        max_descriptors: u32,
        discovery: TcpListener,
        has_operator_api: bool,
        reserved_port: Arc<Socket>,
    ) -> Balancer {
        let mut process = program_command(&facts_path, max_descriptors, fleet_path.as_deref())
            .env("TMPDIR", &temp_dir)
            .spawn()
            .expect("the program");
        let lines = BufReader::new(process.stderr.take().expect("its log")).lines();
        let (sender, log_lines) = channel();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut balancer = Balancer {
            process,
            facts_path,
            fleet_path,
            temp_dir,
            log_lines,
            skipped_log_lines: Vec::new(),
            address,
            discovery,
            operator_address: None,
            max_descriptors,
            reserved_port,
        };
        let parse_address = |line: String| line.rsplit(' ').next().and_then(|a| a.parse().ok());
        if has_operator_api {
            balancer.operator_address = parse_address(balancer.wait_for_log_line("operators on "));
        }
        balancer.address =
            parse_address(balancer.wait_for_log_line(" on 127.0.0.1:")).expect("listen address");
        balancer
    }

    /// Starts another process of the same balancer, with the same address and temporary directory.
    pub fn start_second_process(&self) -> Balancer {
        let discovery = self.discovery.try_clone().expect("clone listener");
        Balancer::spawn(
            (self.facts_path.clone(), self.fleet_path.clone()),
            self.temp_dir.clone(),
            self.max_descriptors,
            discovery,
            self.operator_address.is_some(),
            self.reserved_port.clone(),
        )
    }

    /// Sends a call (method and path) to the operator API and returns the status and the body of the response.
    pub fn call_operator(&self, call: &str) -> (String, String) {
        let mut stream =
            TcpStream::connect(self.operator_address.expect("operator API")).expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        write!(stream, "{call} HTTP/1.1\r\nHost: operator\r\n\r\n").expect("sent");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        let (head, body) = response.split_once("\r\n\r\n").unwrap_or((&response, ""));
        (head.lines().next().unwrap_or_default().replace("HTTP/1.1 ", ""), body.to_owned())
    }

    /// The value of a metric on the operator API's telemetry page.
    pub fn metric(&self, name: &str) -> u64 {
        let (_, page) = self.call_operator("GET /api/telemetry");
        let line = page.lines().find_map(|line| line.strip_prefix(&format!("app.{name}:")));
        let value = line.and_then(|line| line.split('|').next()).and_then(|value| value.parse().ok());
        value.unwrap_or_else(|| panic!("no {name} in {page}"))
    }

    /// Waits until a metric has this value.
    pub fn wait_for_metric(&self, name: &str, value: u64) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.metric(name) != value {
            assert!(Instant::now() < deadline, "{name} is {}, not {value}", self.metric(name));
        }
    }

    pub fn open_connection(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        stream
    }

    pub fn send_message(&self, message: &str) -> TcpStream {
        let mut stream = self.open_connection();
        stream.write_all(message.as_bytes()).expect("sent");
        stream
    }

    pub fn send_signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// Waits for the next log line that contains this text.
    pub fn wait_for_log_line(&mut self, text: &str) -> String {
        loop {
            let line = self.log_lines.recv_timeout(TEST_TIMEOUT).expect("another log line");
            if line.contains(text) {
                return line;
            }
            self.skipped_log_lines.push(line);
        }
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A port that is taken but refuses all connections, for as long as the value lives.
pub fn bind_without_listening() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.into()
}

pub fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

pub fn accept_stream(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("a listener");
    let deadline = Instant::now() + TEST_TIMEOUT;
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(error) => assert!(Instant::now() < deadline, "no connection: {error}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    stream.set_nonblocking(false).expect("a stream");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    stream
}

/// Reads one complete message as text; empty if the connection ends before the head is complete.
pub fn read_message(stream: &mut TcpStream) -> String {
    let (mut message, mut byte) = (Vec::new(), [0]);
    while !message.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(0) => return String::from_utf8_lossy(&message).into(),
            Ok(_) => message.push(byte[0]),
            Err(error) => return format!("read error: {:?}", error.kind()),
        }
    }
    let head = String::from_utf8_lossy(&message).into_owned();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a length"))];
    stream.read_exact(&mut body).expect("a body");
    head + &String::from_utf8_lossy(&body)
}

pub fn write_message(stream: &mut TcpStream, message: &str) {
    stream.write_all(message.as_bytes()).expect("written");
}

/// Starts a stub that answers every message on each connection with this one.
pub fn spawn_responder(listener: &TcpListener, message: impl Into<String>) {
    let (listener, message) = (listener.try_clone().expect("a listener"), message.into());
    listener.set_nonblocking(false).expect("a listener");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, message) = (stream.expect("a stream"), message.clone());
            std::thread::spawn(move || {
                while !read_message(&mut stream).is_empty() && stream.write_all(message.as_bytes()).is_ok() {}
            });
        }
    });
}

/// Discovery's response with a complete list.
pub fn discovery_response(generation: u32, entries: &str) -> String {
    let body = format!(r#"{{"generation":{generation},"reset":true,"instances":[{entries}]}}"#);
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

pub const HEALTH_REQUEST: &str = "GET /_health HTTP/1.1\r\nHost: service\r\n\r\n";
pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-mark: 7\r\n\r\ngood";
pub const TRUNCATED_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngo";
pub const REJECTED_RESPONSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n";

pub fn request(method: &str, path: &str, budget: &str, body: &str) -> String {
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
    /// Records a message without the headers whose values differ from run to run.
    pub fn add_message(&mut self, source: &str, message: &str) {
        let is_stable = |line: &&str| {
            !["date:", "host:", "x-budget:"].iter().any(|name| line.to_lowercase().starts_with(name))
        };
        let lines: Vec<&str> =
            message.split("\r\n").filter(is_stable).filter(|line| !line.is_empty()).collect();
        writeln!(self.0, "{source}: {}", lines.join(" | ").trim_end()).expect("a String takes it");
    }

    pub fn add_first_line(&mut self, source: &str, message: &str) {
        self.add_message(source, message.lines().next().unwrap_or("nothing"));
    }

    /// Accepts a connection and records the first line received on it.
    pub fn accept_and_add(&mut self, source: &str, listener: &TcpListener) -> TcpStream {
        let mut stream = accept_stream(listener);
        self.add_first_line(source, &read_message(&mut stream));
        stream
    }

    pub fn assert_matches(&self, expected: Expect) {
        expected.assert_eq(&self.0);
    }
}

/// Starts the program, expecting it to exit with an error, and returns what it wrote to standard error. A program that
/// keeps running is killed.
pub fn failed_start_output(facts: &Path, fleet: &Path) -> String {
    let mut process = program_command(facts, 1024, Some(fleet)).spawn().expect("the program");
    let deadline = Instant::now() + TEST_TIMEOUT;
    let has_failed = loop {
        match process.try_wait().expect("its state") {
            Some(status) => break !status.success(),
            None if Instant::now() > deadline => break false,
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    };
    // Fails if the process has exited already.
    let _ = process.kill();
    let output = process.wait_with_output().expect("its output");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(has_failed, "the program started: {stderr}");
    stderr
}

/// An address for messages between instances; a moment ago its port was unused for both UDP and TCP.
pub fn unused_address() -> SocketAddr {
    loop {
        let socket = UdpSocket::bind("127.0.0.3:0").expect("a port");
        let address = socket.local_addr().expect("an address");
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a stub of discovery that sends this response to every request, 300 ms apart on each connection.
pub fn spawn_discovery(discovery: &TcpListener, response: String) {
    let discovery = discovery.try_clone().expect("a listener");
    discovery.set_nonblocking(false).expect("a listener");
    std::thread::spawn(move || {
        for stream in discovery.incoming() {
            let (mut stream, response) = (stream.expect("a stream"), response.clone());
            std::thread::spawn(move || {
                while !read_message(&mut stream).is_empty() && stream.write_all(response.as_bytes()).is_ok() {
                    std::thread::sleep(Duration::from_millis(300));
                }
            });
        }
    });
}

/// Polls until the condition holds; panics with its description after twice the test timeout.
pub fn wait_until(condition: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + 2 * TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until: {condition}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
