//! Processes of the multi-call program.

use std::{ffi, fs, io, net, path, process, sync, sync::atomic, time};

use nix::{sys::signal, unistd};

static NEXT_FOLDER: atomic::AtomicU32 = atomic::AtomicU32::new(0);
static NEXT_ADDRESS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Limit for the ready line of a process on a busy machine.
const START_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Folder that is removed with its last user, unless a test fails.
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

/// Starts processes of one test or example.
#[derive(Clone, Debug)]
pub struct Launcher {
    program: path::PathBuf,
    folder: sync::Arc<TempFolder>,
    variables: Vec<(String, String)>,
}

impl Launcher {
    /// A launcher for the multi-call program at the given path.
    ///
    /// # Errors
    ///
    /// Returns the error of creating the folder for logs.
    pub fn new(program: impl Into<path::PathBuf>) -> io::Result<Self> {
        let number = NEXT_FOLDER.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("acaciabank-testbed-{}-{number}", process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        Ok(Self {
            program: program.into(),
            folder: sync::Arc::new(TempFolder(folder)),
            variables: Vec::new(),
        })
    }

    /// The launcher with an environment variable for the processes that it starts.
    pub fn with_env(mut self, name: &str, value: &str) -> Self {
        self.variables.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Folder for logs, settings and journals.
    pub fn folder(&self) -> &path::Path {
        &self.folder.0
    }

    /// Journal file of a stand-in with the given name.
    pub fn journal_file(&self, name: &str) -> path::PathBuf {
        self.folder().join(format!("{name}.journal"))
    }

    /// A loopback IP for one process, derived from this process's id and a counter, so that test
    /// programs that run at the same time do not meet.
    pub fn next_ip(&self) -> net::Ipv4Addr {
        let number = NEXT_ADDRESS.fetch_add(1, atomic::Ordering::Relaxed);
        let process_id = process::id();
        let second = 1 + (process_id % 250) as u8;
        let third = ((process_id / 250) % 250) as u8;
        let fourth = 1 + (number % 250) as u8;
        net::Ipv4Addr::new(127, second, third, fourth)
    }

    /// A free port on an IP. The port is released again: the IP belongs to one process alone.
    ///
    /// # Errors
    ///
    /// Returns the error of binding.
    pub fn free_address(&self, ip: net::Ipv4Addr) -> io::Result<net::SocketAddr> {
        net::TcpListener::bind((ip, 0))?.local_addr()
    }

    /// A free address on an IP of its own.
    ///
    /// # Errors
    ///
    /// Returns the error of binding.
    pub fn next_address(&self) -> io::Result<net::SocketAddr> {
        self.free_address(self.next_ip())
    }

    /// Starts a role of the program without waiting for it.
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
        let mut all = vec![ffi::OsString::from(role)];
        all.extend(arguments.into_iter().map(Into::into));
        let mut process = Process {
            name: name.to_owned(),
            launcher: self.clone(),
            arguments: all,
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts a stand-in and waits for its ready line.
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

/// A process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    launcher: Launcher,
    arguments: Vec<ffi::OsString>,
    child: Option<process::Child>,
}

impl Process {
    /// Starts the process, again with the same arguments after it has ended.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the process.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let errors = fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_file())?;
        let output = fs::File::create(self.output_file())?;
        let child = process::Command::new(&self.launcher.program)
            .args(&self.arguments)
            .envs(self.launcher.variables.iter().cloned())
            .stdin(process::Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// File with the standard error output of all runs.
    pub fn log_file(&self) -> path::PathBuf {
        self.launcher.folder().join(format!("{}.log", self.name))
    }

    fn output_file(&self) -> path::PathBuf {
        self.launcher.folder().join(format!("{}.out", self.name))
    }

    /// Waits for the ready line of a stand-in.
    ///
    /// # Panics
    ///
    /// Panics when it is not printed within 30 s.
    pub async fn wait_ready(&self) {
        let description = format!("{} prints its ready line", self.name);
        super::wait_until(START_LIMIT, &description, async || {
            let output = fs::read_to_string(self.output_file()).unwrap_or_default();
            output.contains("\"ready\":true")
        })
        .await;
    }

    /// Process id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Exit status, once the process has ended by itself.
    pub fn exit_status(&mut self) -> Option<process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process until [`Process::resume`].
    pub fn pause(&self) {
        self.signal(signal::Signal::SIGSTOP);
    }

    /// Continues a stopped process.
    pub fn resume(&self) {
        self.signal(signal::Signal::SIGCONT);
    }

    /// Asks the process for a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(signal::Signal::SIGTERM);
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
