//! The balancer processes: start, signals and inspection. No process outlives the drill: the kernel kills them when the
//! drill's main thread ends, also if that is killed.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::resource::{Resource, setrlimit};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use socket2::Socket;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::client::RoutingState;
use crate::event_log::lock;
use crate::http::Message;
use crate::link::reserve_port;

const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A balancer: its port, its folder, and its process while it has one.
pub struct BalancerProcess {
    pub number: usize,
    /// Where the process listens; clients reach it by relays.
    pub address: SocketAddr,
    pub folder: PathBuf,
    /// Whether a process runs.
    pub alive: watch::Sender<bool>,
    /// Whether clients are routed to it.
    pub routing: watch::Sender<RoutingState>,
    child: Mutex<Option<Child>>,
    /// Keeps the port bound while no process uses it.
    _reserved: Socket,
}

impl BalancerProcess {
    pub fn new(number: usize, folder: &Path) -> io::Result<BalancerProcess> {
        let (reserved, address) = reserve_port(None)?;
        let folder = folder.join(format!("n{number}"));
        // The data folder persists across restarts.
        fs::create_dir_all(folder.join("stored"))?;
        let (alive, routing) = (watch::Sender::new(false), watch::Sender::default());
        let child = Mutex::default();
        Ok(BalancerProcess { number, address, folder, alive, routing, child, _reserved: reserved })
    }

    /// The file with the process's standard error.
    pub fn log_file(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// The folder with what the process persists.
    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("stored")
    }

    /// Starts a process; none may be running. Must be called on the main thread, since the kernel kills the process when
    /// the thread that started it ends. The process gets as many descriptors as its parameters allow it sockets.
    pub fn start(
        &self,
        binary: &Path,
        parameters: &str,
        descriptors: u64,
        args: &[String],
    ) -> io::Result<()> {
        let file = self.folder.join("facts.json");
        fs::write(&file, parameters)?;
        let log = File::options().create(true).append(true).open(self.log_file())?;
        let mut command = Command::new(binary);
        command.arg("serve").arg("--facts").arg(&file).args(args);
        command.env("TMPDIR", &self.folder).env_remove("ROUTER_OPERATOR").env_remove("ROUTER_CONFIG");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let set_limits = move || {
            setrlimit(Resource::RLIMIT_NOFILE, descriptors, descriptors)?;
            nix::sys::prctl::set_pdeathsig(Signal::SIGKILL).map_err(io::Error::from)
        };
        // SAFETY: only async-signal-safe system calls are made between fork and exec.
        unsafe {
            command.pre_exec(set_limits);
        }
        let child = command.spawn()?;
        *lock(&self.child) = Some(child);
        self.alive.send_replace(true);
        Ok(())
    }

    /// Waits until the health check succeeds; returns false if it does not within the timeout, or the process ends.
    pub async fn wait_until_ready(&self, within: Duration) -> bool {
        let polling = async {
            while self.pid().is_some() && !self.is_healthy().await {
                sleep(HEALTH_POLL_INTERVAL).await;
            }
        };
        timeout(within, polling).await.is_ok() && self.pid().is_some()
    }

    async fn is_healthy(&self) -> bool {
        let check = async {
            let mut stream = TcpStream::connect(self.address).await.ok()?;
            stream
                .write_all(b"GET /_health HTTP/1.1\r\nHost: drill\r\nConnection: close\r\n\r\n")
                .await
                .ok()?;
            let response = Message::read(&mut stream).await.ok()?;
            Some(response.head.status() == 200)
        };
        timeout(Duration::from_secs(1), check).await.ok().flatten().unwrap_or(false)
    }

    /// The id of the running process.
    pub fn pid(&self) -> Option<Pid> {
        let mut child = lock(&self.child);
        let running = child.as_mut()?;
        match running.try_wait() {
            Ok(None) => Some(Pid::from_raw(running.id() as i32)),
            _ => None,
        }
    }

    /// Reaps the process if it has ended: returns, once, its exit code, or `Some(None)` if a signal ended it.
    pub fn take_exit_code(&self) -> Option<Option<i32>> {
        let mut child = lock(&self.child);
        let status = child.as_mut()?.try_wait().ok().flatten()?;
        *child = None;
        self.alive.send_replace(false);
        Some(status.code())
    }

    /// Returns whether there was a process to signal.
    pub fn signal(&self, signal: Signal) -> bool {
        self.pid().is_some_and(|pid| kill(pid, signal).is_ok())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let taken = lock(&self.child).take();
        if let Some(mut child) = taken {
            let _ = child.kill();
            let _ = child.wait();
            self.alive.send_replace(false);
        }
    }

    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let process = PathBuf::from(format!("/proc/{}", self.pid()?));
        let stat = fs::read_to_string(process.join("stat")).ok()?;
        // The process name in parentheses may contain anything, so fields are counted from behind it.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
        let status = fs::read_to_string(process.join("status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory_kb = memory.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok())?;
        let descriptors = fs::read_dir(process.join("fd")).ok()?.count() as u64;
        Some(ResourceUsage { memory_kb, cpu_ticks: ticks(11)? + ticks(12)?, descriptors })
    }

    /// The last three lines of the process's log.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(self.log_file()).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" / ")
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ResourceUsage {
    pub memory_kb: u64,
    /// User and system time, in clock ticks.
    pub cpu_ticks: u64,
    pub descriptors: u64,
}

/// Alters a byte in the middle of each file of a folder.
pub fn damage_files(folder: &Path) -> io::Result<()> {
    for file in fs::read_dir(folder)? {
        let path = file?.path();
        let mut bytes = fs::read(&path).unwrap_or_default();
        let middle = bytes.len() / 2;
        if let Some(byte) = bytes.get_mut(middle) {
            *byte ^= 0x5a;
            fs::write(&path, bytes)?;
        }
    }
    Ok(())
}

/// Replaces the files of folder `to` by copies of those of folder `from`.
pub fn replace_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::remove_dir_all(to)?;
    fs::create_dir_all(to)?;
    for file in fs::read_dir(from)? {
        let file = file?;
        fs::copy(file.path(), to.join(file.file_name()))?;
    }
    Ok(())
}

/// The balancers of a drill, shared between tasks.
pub type BalancerProcesses = Arc<Vec<BalancerProcess>>;
