//! Two processes at one address, for the time of an upgrade: how each knows of the other, and how the clients'
//! address is shared. It owns the locked files in `$TMPDIR` and the making of the listener, and must never take a
//! file for a process: only its lock shows that one lives.

use std::fs::{self, File, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use nix::libc::{sock_filter, sock_fprog};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use socket2::{Domain, Socket, Type};
use tracing::warn;

const QUEUE: i32 = 1024;
/// The system's word for "answer with this number" in a filter, a classic BPF program.
const RETURN: u16 = 0x06;

/// This process among those that serve one address.
pub struct Twin {
    /// Where their files are, and what begins their names; empty where there is no folder to write to.
    place: Option<(PathBuf, String)>,
    /// Our own, locked for as long as this lives.
    own: Option<(PathBuf, File)>,
}

impl Twin {
    /// Shows the others that this process lives.
    pub fn enter(folder: Option<&Path>, listen: SocketAddr) -> Twin {
        let Some(folder) = folder else { return Twin { place: None, own: None } };
        let begin = format!("ochreshed-{}-{}.", listen.ip().to_string().replace(':', "_"), listen.port());
        match enter(folder, &begin) {
            Ok(own) => Twin { place: Some((folder.to_owned(), begin)), own: Some(own) },
            Err(why) => {
                warn!("alone, as far as can be told: {}: {why}", folder.display());
                Twin { place: None, own: None }
            }
        }
    }

    /// How many others live. Files of those that don't are removed.
    pub fn others(&self) -> usize {
        let Some((folder, begin)) = &self.place else { return 0 };
        let Ok(entries) = fs::read_dir(folder) else { return 0 };
        let ours = |name: &str| name.starts_with(begin.as_str()) && name.ends_with(".lock");
        let paths = entries.flatten().filter(|entry| entry.file_name().to_str().is_some_and(ours));
        let others = paths
            .map(|entry| entry.path())
            .filter(|path| self.own.as_ref().is_none_or(|(own, _)| own != path));
        others.filter(|path| lives(path)).count()
    }

    /// Listens at the clients' address beside whoever else does, and takes all new connections if there are others.
    /// Guards against connections that wait in the queue of a process that is about to end: closing a listener
    /// resets them.
    pub fn listen(&self, address: SocketAddr) -> io::Result<std::net::TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(QUEUE)?;
        let others = self.others();
        if others > 0
            && let Err(why) = steer(&socket, others as u32)
        {
            // The system goes on dealing connections out; the old process empties its queue before it closes.
            warn!("new connections are not steered: {why}");
        }
        Ok(socket.into())
    }
}

impl Drop for Twin {
    fn drop(&mut self) {
        if let Some((path, _)) = &self.own {
            let _ = fs::remove_file(path);
        }
    }
}

/// Our file: locked first and named after, so that nobody finds it without its lock.
fn enter(folder: &Path, begin: &str) -> io::Result<(PathBuf, File)> {
    let name = format!("{begin}{}", std::process::id());
    let (coming, path) = (folder.join(format!("{name}.new")), folder.join(format!("{name}.lock")));
    let file = File::create(&coming)?;
    file.try_lock()?;
    fs::rename(&coming, &path)?;
    Ok((path, file))
}

fn lives(path: &Path) -> bool {
    let Ok(file) = File::open(path) else { return false };
    match file.try_lock() {
        Err(TryLockError::WouldBlock) => true,
        Ok(()) => {
            let _ = fs::remove_file(path);
            false
        }
        Err(TryLockError::Error(_)) => false,
    }
}

/// Sends all new connections to the listener at this place of those that share the address: in the order in which
/// they joined. Once one of them closes and there is none at this place, the system deals them out by itself.
fn steer(socket: &Socket, place: u32) -> io::Result<()> {
    let mut filter = [sock_filter { code: RETURN, jt: 0, jf: 0, k: place }];
    let program = sock_fprog { len: 1, filter: filter.as_mut_ptr() };
    setsockopt(socket, AttachReusePortCbpf, &program).map_err(io::Error::from)
}

#[cfg(test)]
mod tests {
    use std::io::{ErrorKind, Read};
    use std::net::{TcpListener, TcpStream};

    use super::*;

    fn folder(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("ochreshed-test-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        path
    }

    /// Guards against a stale file that passes for a process, and one that is not seen.
    #[test]
    fn only_a_locked_file_is_another_process() {
        let (folder, address) = (folder("lock"), SocketAddr::from(([127, 0, 0, 1], 8)));
        let own = Twin::enter(Some(&folder), address);
        assert_eq!(own.others(), 0);
        let file = |name: &str| folder.join(format!("ochreshed-127.0.0.1-8.{name}"));
        fs::write(file("stale.lock"), "").expect("a file");
        fs::write(folder.join("ochreshed-127.0.0.1-80.5.lock"), "").expect("a file");
        let living = File::create(file("7.lock")).expect("a file");
        living.lock().expect("a lock");
        assert_eq!(own.others(), 1);
        assert!(!file("stale.lock").exists() && file("7.lock").exists());
        // It crashes: its lock goes with it.
        drop(living);
        assert_eq!(own.others(), 0);
        drop(own);
        assert_eq!(fs::read_dir(&folder).expect("a folder").count(), 1, "only what is another address's");
        let alone = Twin::enter(Some(Path::new("/nowhere")), address);
        assert_eq!((alone.others(), Twin::enter(None, address).others()), (0, 0));
        fs::remove_dir_all(&folder).expect("removed");
    }

    /// Guards against connections that go to the process that is about to end, and against none being let in once
    /// it has.
    #[test]
    fn the_newcomer_takes_all_new_connections_and_goes_on_when_alone() {
        let folder = folder("steer");
        let alone = Twin { place: None, own: None };
        let old = alone.listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a listener");
        let address = old.local_addr().expect("an address");
        let begin = format!("ochreshed-127.0.0.1-{}.", address.port());
        let living = File::create(folder.join(format!("{begin}1.lock"))).expect("a file");
        living.lock().expect("a lock");
        let newcomer = Twin::enter(Some(&folder), address).listen(address).expect("a listener");
        let taken = |listener: &TcpListener| {
            let mut streams = Vec::new();
            while let Ok((stream, _)) = listener.accept() {
                streams.push(stream);
            }
            streams
        };
        let come = |count: usize| -> Vec<TcpStream> {
            (0..count).map(|_| TcpStream::connect(address).expect("a connection")).collect()
        };
        let mut callers = come(50);
        assert_eq!((taken(&old).len(), taken(&newcomer).len()), (0, 50));
        drop(old);
        callers.extend(come(50));
        assert_eq!(taken(&newcomer).len(), 50);
        // None was reset.
        for caller in &mut callers[50..] {
            caller.set_nonblocking(true).expect("a stream");
            let unread = caller.read(&mut [0]);
            assert!(!matches!(unread, Err(e) if e.kind() == ErrorKind::ConnectionReset));
        }
        fs::remove_dir_all(&folder).expect("removed");
    }
}
