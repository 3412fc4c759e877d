//! Launches, signals and kills processes of the multi-call binary.

use std::{collections::BTreeSet, ffi, fs, io, net, path, process, sync, sync::atomic, time};

use nix::{sys::signal, unistd};

static NEXT_FOLDER: atomic::AtomicU32 = atomic::AtomicU32::new(0);
static NEXT_ADDRESS: atomic::AtomicU32 = atomic::AtomicU32::new(0);
/// Last parts of the IP addresses that launchers of this process use.
static USED_ADDRESSES: sync::Mutex<BTreeSet<u8>> = sync::Mutex::new(BTreeSet::new());
/// Number of IP addresses of one process.
const ADDRESS_COUNT: u32 = 250;
/// Number of IP addresses of one launcher, after which it uses them again: others need some too.
const LAUNCHER_ADDRESS_COUNT: usize = 60;

/// Maximum time until a process prints its ready line; generous because tests share a busy machine.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Folder shared by a launcher and its processes. It is removed when the last of them is dropped,
/// but kept for diagnosis when the test panics.
#[derive(Debug)]
struct TempFolder(path::PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs and journals are kept in {}", self.0.display());
        } else {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Sockets that are bound to the addresses handed out and never listen. As long as they exist, the
/// kernel gives these ports to no other socket that asks for any free port, and a socket with
/// `SO_REUSEADDR` can still bind to them and listen.
type Reservations = sync::Arc<sync::Mutex<Vec<socket2::Socket>>>;

/// Last parts of the IP addresses of a launcher, which others may use after it.
#[derive(Debug, Default)]
struct AddressSet(sync::Mutex<Vec<u8>>);

impl Drop for AddressSet {
    fn drop(&mut self) {
        let mut used = USED_ADDRESSES.lock().expect("address lock");
        for part in self.0.lock().expect("address lock").iter() {
            used.remove(part);
        }
    }
}

/// Starts the processes of one test or example and owns their temporary folder.
#[derive(Clone, Debug)]
pub struct Launcher {
    program: path::PathBuf,
    folder: sync::Arc<TempFolder>,
    environment: Vec<(String, String)>,
    reservations: Reservations,
    addresses: sync::Arc<AddressSet>,
}

impl Launcher {
    /// Creates a launcher for the multi-call binary at the given path, with a temporary folder.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of creating the folder.
    pub fn new(program: impl Into<path::PathBuf>) -> io::Result<Self> {
        let number = NEXT_FOLDER.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("acaciabank-testbed-{}-{number}", process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        Ok(Self {
            program: program.into(),
            folder: sync::Arc::new(TempFolder(folder)),
            environment: Vec::new(),
            reservations: Reservations::default(),
            addresses: sync::Arc::default(),
        })
    }

    /// Adds an environment variable for the processes that the launcher starts.
    pub fn with_env(mut self, name: &str, value: &str) -> Self {
        self.environment.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the folder for logs, settings and journals.
    pub fn folder(&self) -> &path::Path {
        &self.folder.0
    }

    /// Returns the path of the journal of the simulated process with the given name.
    pub fn journal_file(&self, name: &str) -> path::PathBuf {
        self.folder().join(format!("{name}.journal"))
    }

    /// Returns a loopback IP address for one process. It is derived from the id of this process and
    /// a counter, so that concurrent test binaries do not use the same addresses. Addresses that other
    /// launchers use are left out, as processes listen on fixed ports too.
    ///
    /// # Panics
    ///
    /// Panics if other launchers use all addresses of this process.
    pub fn next_ip(&self) -> net::Ipv4Addr {
        let process_id = process::id();
        let second = 1 + (process_id % 250) as u8;
        let third = ((process_id / 250) % 250) as u8;
        let fourth = self.next_address_part();
        net::Ipv4Addr::new(127, second, third, fourth)
    }

    fn next_address_part(&self) -> u8 {
        let number = || NEXT_ADDRESS.fetch_add(1, atomic::Ordering::Relaxed);
        let mut own = self.addresses.0.lock().expect("address lock");
        if own.len() >= LAUNCHER_ADDRESS_COUNT {
            return own[number() as usize % own.len()];
        }
        let mut used = USED_ADDRESSES.lock().expect("address lock");
        let mut parts = (0..ADDRESS_COUNT).map(|_| 1 + (number() % ADDRESS_COUNT) as u8);
        let part = parts.find(|part| used.insert(*part));
        let part = part.expect("an IP address that no other launcher uses");
        own.push(part);
        part
    }

    /// Returns an address with a free port on the given IP, reserved while the launcher exists.
    ///
    /// The port is not found with a listener that is closed again: a child process that another
    /// thread is starting inherits such a listener and keeps the port until it calls `exec`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding.
    pub fn free_address(&self, ip: net::Ipv4Addr) -> io::Result<net::SocketAddr> {
        self.reserve(net::SocketAddr::from((ip, 0)))
    }

    /// Reserves an address while the launcher exists. Port 0 stands for any free port; the returned
    /// address has the port that the kernel assigned.
    ///
    /// # Errors
    ///
    /// Returns the error of binding, such as that of an address in use.
    pub fn reserve(&self, address: net::SocketAddr) -> io::Result<net::SocketAddr> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        let address = socket.local_addr()?.as_socket();
        let reservations = &mut self.reservations.lock().expect("reservation lock");
        reservations.push(socket);
        address.ok_or_else(|| io::Error::other("the socket has no IP address"))
    }

    /// Returns an address with a free port on an unused loopback IP.
    ///
    /// # Errors
    ///
    /// Returns the error of binding.
    pub fn next_address(&self) -> io::Result<net::SocketAddr> {
        self.free_address(self.next_ip())
    }

    /// Starts the program in a role without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the process.
    pub fn start<A: Into<ffi::OsString>>(
        &self,
        name: &str,
        role: &str,
        arguments: impl IntoIterator<Item = A>,
    ) -> io::Result<Process> {
        let mut all_arguments = vec![ffi::OsString::from(role)];
        all_arguments.extend(arguments.into_iter().map(Into::into));
        let mut process = Process {
            name: name.to_owned(),
            launcher: self.clone(),
            arguments: all_arguments,
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program in a role and waits for its ready line.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the process.
    ///
    /// # Panics
    ///
    /// Panics when the process is not ready within 30 s.
    pub async fn start_ready<A: Into<ffi::OsString>>(
        &self,
        name: &str,
        role: &str,
        arguments: impl IntoIterator<Item = A>,
    ) -> io::Result<Process> {
        let process = self.start(name, role, arguments)?;
        process.wait_ready().await;
        Ok(process)
    }
}

/// A process of the multi-call binary; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    launcher: Launcher,
    arguments: Vec<ffi::OsString>,
    child: Option<process::Child>,
}

impl Process {
    /// Starts the process with the same arguments as before; kills it first if it still runs.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the process.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_file())?;
        let output = fs::File::create(self.output_file())?;
        let child = process::Command::new(&self.launcher.program)
            .args(&self.arguments)
            .envs(self.launcher.environment.iter().cloned())
            .stdin(process::Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the name of the process, which its log and output files carry.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the path of the file with the standard error output of all runs.
    pub fn log_file(&self) -> path::PathBuf {
        self.launcher.folder().join(format!("{}.log", self.name))
    }

    /// Returns the path of the file with the standard output of the last run.
    pub fn output_file(&self) -> path::PathBuf {
        self.launcher.folder().join(format!("{}.out", self.name))
    }

    /// Waits for the ready line, which simulated processes print once they accept connections.
    ///
    /// # Panics
    ///
    /// Panics when the line is not printed within 30 s.
    pub async fn wait_ready(&self) {
        let description = format!("{} prints its ready line", self.name);
        super::wait_until(START_TIMEOUT, &description, async || {
            let output = fs::read_to_string(self.output_file()).unwrap_or_default();
            output.contains("\"ready\":true")
        })
        .await;
    }

    /// Returns the process id; `None` after [`Process::kill`].
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Returns the exit status once the process has ended by itself.
    pub fn exit_status(&mut self) -> Option<process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends the process with SIGSTOP until [`Process::resume`].
    pub fn pause(&self) {
        self.signal(signal::Signal::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(signal::Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(signal::Signal::SIGTERM);
    }

    /// Sends SIGHUP, which states that the settings have changed.
    pub fn hang_up(&self) {
        self.signal(signal::Signal::SIGHUP);
    }

    fn signal(&self, signal: signal::Signal) {
        if let Some(id) = self.id() {
            let _ = signal::kill(unistd::Pid::from_raw(id as i32), signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
