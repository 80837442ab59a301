//! Shares the clients' address between two processes during an upgrade: each learns whether the other is
//! alive, and new connections go to the newer one.
//!
//! Each process holds a lock on a file of its own in `$TMPDIR`. Only a held lock proves that a process is
//! alive; the existence of its file does not.

use std::fs::{self, File, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use nix::libc::{sock_filter, sock_fprog};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use socket2::{Domain, Socket, Type};
use tracing::warn;

const LISTEN_BACKLOG: i32 = 1024;
/// The classic BPF instruction that returns a constant.
const BPF_RETURN: u16 = 0x06;

/// This process among those that serve one address.
pub struct AddressSharing {
    /// The folder of the lock files and the prefix of their names; None if there is no folder to write to.
    lock_files: Option<(PathBuf, String)>,
    /// This process's file, locked for as long as this lives.
    own_file: Option<(PathBuf, File)>,
}

impl AddressSharing {
    /// Registers this process, so that others see that it is alive.
    pub fn register(folder: Option<&Path>, listen: SocketAddr) -> AddressSharing {
        let Some(folder) = folder else { return AddressSharing { lock_files: None, own_file: None } };
        let prefix = format!("ochreshed-{}-{}.", listen.ip().to_string().replace(':', "_"), listen.port());
        match create_lock_file(folder, &prefix) {
            Ok(own_file) => {
                AddressSharing { lock_files: Some((folder.to_owned(), prefix)), own_file: Some(own_file) }
            }
            Err(error) => {
                warn!("{}: {error}; can't detect other processes at this address", folder.display());
                AddressSharing { lock_files: None, own_file: None }
            }
        }
    }

    /// Counts the other processes that are alive and removes the files of those that are not.
    pub fn count_others(&self) -> usize {
        let Some((folder, prefix)) = &self.lock_files else { return 0 };
        let Ok(entries) = fs::read_dir(folder) else { return 0 };
        let is_lock_file = |name: &str| name.starts_with(prefix.as_str()) && name.ends_with(".lock");
        let paths = entries.flatten().filter(|entry| entry.file_name().to_str().is_some_and(is_lock_file));
        let others = paths
            .map(|entry| entry.path())
            .filter(|path| self.own_file.as_ref().is_none_or(|(own_path, _)| own_path != path));
        others.filter(|path| is_alive(path)).count()
    }

    /// Listens at the address beside any other process, and if there are others directs all new connections
    /// to this one. Otherwise connections could wait in the backlog of a process that is about to exit, and
    /// closing its listener would reset them.
    pub fn listen(&self, address: SocketAddr) -> io::Result<std::net::TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let others = self.count_others();
        if others > 0
            && let Err(error) = direct_new_connections(&socket, others as u32)
        {
            // The operating system keeps distributing connections; the old process empties its backlog before
            // it closes.
            warn!("can't direct new connections to this process: {error}");
        }
        Ok(socket.into())
    }
}

impl Drop for AddressSharing {
    fn drop(&mut self) {
        if let Some((path, _)) = &self.own_file {
            let _ = fs::remove_file(path);
        }
    }
}

/// Creates the lock file. It is locked before it gets its final name, so that nobody finds it unlocked.
fn create_lock_file(folder: &Path, prefix: &str) -> io::Result<(PathBuf, File)> {
    let name = format!("{prefix}{}", std::process::id());
    let (unlocked_path, path) = (folder.join(format!("{name}.new")), folder.join(format!("{name}.lock")));
    let file = File::create(&unlocked_path)?;
    file.try_lock()?;
    fs::rename(&unlocked_path, &path)?;
    Ok((path, file))
}

fn is_alive(path: &Path) -> bool {
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

/// Directs all new connections to the listener with this index, in the order in which the listeners joined.
/// Once a listener closes and the index is out of range, the operating system distributes connections by
/// itself.
fn direct_new_connections(socket: &Socket, listener_index: u32) -> io::Result<()> {
    let mut filter = [sock_filter { code: BPF_RETURN, jt: 0, jf: 0, k: listener_index }];
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

    /// Guards against a stale file that counts as a process, and against a process that is not seen.
    #[test]
    fn only_a_locked_file_counts_as_another_process() {
        let (folder, address) = (folder("lock"), SocketAddr::from(([127, 0, 0, 1], 8)));
        let own = AddressSharing::register(Some(&folder), address);
        assert_eq!(own.count_others(), 0);
        let file = |name: &str| folder.join(format!("ochreshed-127.0.0.1-8.{name}"));
        fs::write(file("stale.lock"), "").expect("a file");
        fs::write(folder.join("ochreshed-127.0.0.1-80.5.lock"), "").expect("a file");
        let other_process = File::create(file("7.lock")).expect("a file");
        other_process.lock().expect("a lock");
        assert_eq!(own.count_others(), 1);
        assert!(!file("stale.lock").exists() && file("7.lock").exists());
        // The process crashes, which releases its lock.
        drop(other_process);
        assert_eq!(own.count_others(), 0);
        drop(own);
        assert_eq!(
            fs::read_dir(&folder).expect("a folder").count(),
            1,
            "only the other address's file is left"
        );
        let alone = AddressSharing::register(Some(Path::new("/nowhere")), address);
        assert_eq!((alone.count_others(), AddressSharing::register(None, address).count_others()), (0, 0));
        fs::remove_dir_all(&folder).expect("removed");
    }

    /// Guards against connections that go to the process that is about to exit, and against none being
    /// accepted once it has exited.
    #[test]
    fn the_newer_process_gets_all_new_connections_and_keeps_serving_alone() {
        let folder = folder("steer");
        let alone = AddressSharing { lock_files: None, own_file: None };
        let old = alone.listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a listener");
        let address = old.local_addr().expect("an address");
        let prefix = format!("ochreshed-127.0.0.1-{}.", address.port());
        let other_process = File::create(folder.join(format!("{prefix}1.lock"))).expect("a file");
        other_process.lock().expect("a lock");
        let newer = AddressSharing::register(Some(&folder), address).listen(address).expect("a listener");
        let accept_all = |listener: &TcpListener| {
            let mut streams = Vec::new();
            while let Ok((stream, _)) = listener.accept() {
                streams.push(stream);
            }
            streams
        };
        let connect = |count: usize| -> Vec<TcpStream> {
            (0..count).map(|_| TcpStream::connect(address).expect("a connection")).collect()
        };
        let mut clients = connect(50);
        assert_eq!((accept_all(&old).len(), accept_all(&newer).len()), (0, 50));
        drop(old);
        clients.extend(connect(50));
        assert_eq!(accept_all(&newer).len(), 50);
        // None of the connections was reset.
        for client in &mut clients[50..] {
            client.set_nonblocking(true).expect("a stream");
            let unread = client.read(&mut [0]);
            assert!(!matches!(unread, Err(e) if e.kind() == ErrorKind::ConnectionReset));
        }
        fs::remove_dir_all(&folder).expect("removed");
    }
}
