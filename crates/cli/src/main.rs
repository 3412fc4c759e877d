//! Entry point of the `acaciabank` program.

use std::{env, ffi, process};

fn main() {
    let arguments: Vec<ffi::OsString> = env::args_os().skip(1).collect();
    process::exit(acaciabank_cli::run(&arguments));
}
