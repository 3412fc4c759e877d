//! Command-line arguments.

use std::{ffi, path};

use bpaf::Bpaf;

use crate::error;

/// Where the system is and how its answers are shown.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Endpoint {
    /// Operators' address of a daemon, such as 127.0.0.11:7101
    #[bpaf(long, argument("ADDR"), env("ACACIABANK_ADMIN"))]
    pub(crate) admin: String,
    /// Operator's key
    #[bpaf(long, argument("KEY"), env("ACACIABANK_KEY"), optional)]
    pub(crate) key: Option<String>,
    /// PEM file of the certificate authority; switches to TLS
    #[bpaf(long, argument("FILE"), optional)]
    pub(crate) ca: Option<path::PathBuf>,
    /// Prints JSON in place of a table
    #[bpaf(long)]
    pub(crate) json: bool,
}

/// Where callers connect.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CallerEndpoint {
    /// Callers' address of any daemon, such as 127.0.0.11:7100
    #[bpaf(long, argument("ADDR"), env("ACACIABANK_CALLER"))]
    pub(crate) caller: String,
    /// Key of a team
    #[bpaf(long("key"), argument("KEY"), env("ACACIABANK_KEY"), optional)]
    pub(crate) caller_key: Option<String>,
    /// PEM file of the certificate authority; switches to TLS
    #[bpaf(long("ca"), argument("FILE"), optional)]
    pub(crate) caller_ca: Option<path::PathBuf>,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ConfigCommand {
    /// Prints the deployment in force with its version
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        endpoint: Endpoint,
    },
    /// Proposes a deployment file as the successor of a version
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        endpoint: Endpoint,
        /// Version that the change starts from; the version in force without it
        #[bpaf(long, argument("VERSION"), optional)]
        expect: Option<u64>,
        /// File with the deployment object
        #[bpaf(positional("FILE"))]
        file: path::PathBuf,
    },
    /// Prints each version as it comes into force
    #[bpaf(command)]
    Watch {
        #[bpaf(external)]
        endpoint: Endpoint,
        /// Ends after so many versions
        #[bpaf(long, argument("COUNT"), optional)]
        count: Option<u64>,
    },
    /// Lists accepted versions, newest first
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        endpoint: Endpoint,
    },
    /// Shows what changed between two versions of the history
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        endpoint: Endpoint,
        /// Older version
        #[bpaf(positional("FROM"))]
        from: u64,
        /// Newer version
        #[bpaf(positional("TO"))]
        to: u64,
    },
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum KeysCommand {
    /// Prints the record of an idempotency key
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        endpoint: Endpoint,
        /// Team
        #[bpaf(positional("TEAM"))]
        team: String,
        /// Idempotency key
        #[bpaf(positional("IDEMPOTENCY_KEY"))]
        name: String,
    },
    /// Ends a key whose outcome is unknown
    #[bpaf(command)]
    Resolve {
        #[bpaf(external)]
        endpoint: Endpoint,
        /// The request has run; later calls are refused
        #[bpaf(long)]
        ran: bool,
        /// The request has not run; a later call may run
        #[bpaf(long)]
        not_run: bool,
        /// Team
        #[bpaf(positional("TEAM"))]
        team: String,
        /// Idempotency key
        #[bpaf(positional("IDEMPOTENCY_KEY"))]
        name: String,
    },
}

/// A load run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct LoadArguments {
    /// Callers' address of a daemon; may be given more than once
    #[bpaf(long, argument("ADDR"), some("at least one address is needed"))]
    pub(crate) caller: Vec<String>,
    /// Operators' address of a daemon, to count retries and role changes; may be given more than
    /// once
    #[bpaf(long, argument("ADDR"), many)]
    pub(crate) admin: Vec<String>,
    /// Availability zone of the callers
    #[bpaf(long, argument("ZONE"), optional)]
    pub(crate) zone: Option<String>,
    /// Seed of the arrivals
    #[bpaf(long, argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// Name of the run in the report
    #[bpaf(long, argument("NAME"), fallback("load".to_owned()))]
    pub(crate) name: String,
    /// Prints JSON in place of text
    #[bpaf(long)]
    pub(crate) json: bool,
    /// Script of the run
    #[bpaf(positional("SCRIPT"))]
    pub(crate) script: path::PathBuf,
}

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Runs and inspects acaciabank, a serving system for a fixed fleet of model engines.
pub(crate) enum Options {
    /// Checks a settings file; exit status 2 names the first fault
    #[bpaf(command)]
    Check {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: path::PathBuf,
    },
    /// Shows the daemons as one of them sees them
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        endpoint: Endpoint,
    },
    /// Shows the targets with role, load and why a target gets no work
    #[bpaf(command)]
    Targets {
        #[bpaf(external)]
        endpoint: Endpoint,
    },
    /// Reads and changes the deployment
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Gives a target no new work; running requests finish
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        endpoint: Endpoint,
        /// Target
        #[bpaf(positional("TARGET"))]
        target: String,
    },
    /// Gives a drained target work again
    #[bpaf(command)]
    Undrain {
        #[bpaf(external)]
        endpoint: Endpoint,
        /// Target
        #[bpaf(positional("TARGET"))]
        target: String,
    },
    /// Lists the requests that a daemon is running
    #[bpaf(command)]
    Requests {
        #[bpaf(external)]
        endpoint: Endpoint,
    },
    /// Reads and resolves idempotency keys
    #[bpaf(command)]
    Keys(#[bpaf(external(keys_command))] KeysCommand),
    /// Changes the log level of a running daemon
    #[bpaf(command("log-level"))]
    LogLevel {
        #[bpaf(external)]
        endpoint: Endpoint,
        /// error, warn, info, debug or trace
        #[bpaf(positional("LEVEL"))]
        level: String,
    },
    /// Shows the addresses that callers are told to use
    #[bpaf(command)]
    Addresses {
        #[bpaf(external)]
        caller_endpoint: CallerEndpoint,
        /// Availability zone of the caller
        #[bpaf(long, argument("ZONE"), optional)]
        zone: Option<String>,
    },
    /// Runs a scripted mix against a running system and reports what callers saw
    #[bpaf(command)]
    Load(#[bpaf(external(load_arguments))] LoadArguments),
    /// Tells from logs what became of a request
    #[bpaf(command)]
    Explain {
        /// Log of one or more daemons, as JSON lines; may be given more than once
        #[bpaf(long, argument("FILE"), some("at least one log is needed"))]
        log: Vec<path::PathBuf>,
        /// Prints JSON in place of text
        #[bpaf(long)]
        json: bool,
        /// Id of the request
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Compares saved reports of load runs in one SVG picture
    #[bpaf(command)]
    Plot {
        /// Picture to write
        #[bpaf(long, argument("FILE"))]
        svg: path::PathBuf,
        /// Reports written by `acaciabank load --json`
        #[bpaf(positional("REPORT"), some("at least one report is needed"))]
        reports: Vec<path::PathBuf>,
    },
    /// Sends one completion and prints its text
    #[bpaf(command)]
    Complete {
        #[bpaf(external)]
        caller_endpoint: CallerEndpoint,
        /// Model
        #[bpaf(long, argument("MODEL"))]
        model: String,
        /// Tokens to generate at most
        #[bpaf(long, argument("COUNT"), fallback(64))]
        max_tokens: u32,
        /// Idempotency key: runs at most once
        #[bpaf(long, argument("KEY"), optional)]
        idempotency_key: Option<String>,
        /// Prompt
        #[bpaf(positional("PROMPT"))]
        prompt: String,
    },
}

/// Parses the arguments. If there is no command to run, prints the help or the error and returns
/// the exit status.
pub(crate) fn parse(arguments: &[ffi::OsString]) -> Result<Options, i32> {
    let parser = options();
    parser
        .run_inner(bpaf::Args::from(arguments).set_name("acaciabank"))
        .map_err(|failure| {
            failure.print_message(100);
            match failure.exit_code() {
                0 => error::EXIT_OK,
                _ => error::EXIT_USAGE,
            }
        })
}

/// Returns what `--help` prints for a command, given word by word, or for the program if `command`
/// is empty.
pub fn help_text(command: &[&str]) -> String {
    let arguments: Vec<&str> = command.iter().copied().chain(["--help"]).collect();
    match options().run_inner(bpaf::Args::from(arguments.as_slice()).set_name("acaciabank")) {
        Err(failure) => failure.unwrap_stdout(),
        Ok(_) => String::new(),
    }
}
