//! Command-line program for callers and operators of acaciabank.
//!
//! [`run`] parses the arguments, runs the command and returns the exit status:
//!
//! ```
//! let arguments = ["check", "no-such-file.json"].map(std::ffi::OsString::from);
//! assert_eq!(acaciabank_cli::run(&arguments), acaciabank_cli::EXIT_USAGE);
//! ```

mod arguments;
mod client;
mod command;
mod error;
pub mod load;
mod output;

pub use arguments::help_text;
pub use error::{EXIT_CONFLICT, EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE};
pub use error::{Error, Result};

use std::ffi;

/// Runs one command and returns its exit status. Prints results to standard output and an error as
/// one line to standard error.
pub fn run(arguments: &[ffi::OsString]) -> i32 {
    let options = match arguments::parse(arguments) {
        Ok(options) => options,
        Err(status) => return status,
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("acaciabank: cannot start the async runtime: {error}");
            return EXIT_FAILED;
        }
    };
    match runtime.block_on(command::execute(options)) {
        Ok(()) => EXIT_OK,
        Err(error) => {
            eprintln!("acaciabank: {error}");
            error.exit_status()
        }
    }
}
