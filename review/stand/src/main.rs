//! Stand-ins and checks of the review's cases: `review-stand CASE FOLDER`.

mod cases;
mod http;
mod json;
mod lab;
mod store;

use std::{env, path::PathBuf, process};

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
}

fn main() {
    let mut arguments = env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    if name == "engine" {
        let arguments: Vec<String> = arguments.collect();
        if let Err(error) = lab::run_engine(&arguments) {
            eprintln!("engine: {error}");
        }
        process::exit(2);
    }
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let result = match name.as_str() {
        "copied-refusal" => cases::copied_refusal::run(&folder),
        "large-bodies" => cases::large_bodies::run(&folder),
        "unmarked-refusal" => cases::unmarked_refusal::run(&folder),
        "crashing-part" => cases::crashing_part::run(&folder),
        "same-request" => cases::same_request::run(&folder),
        _ => Err(std::io::Error::other(format!("no case {name:?}"))),
    };
    match result {
        Ok(Outcome::Held) => println!("{name}: the rule held"),
        Ok(Outcome::Broken) => {
            println!("{name}: the rule was broken");
            process::exit(1);
        }
        Err(error) => {
            println!("{name}: the case couldn't run: {error}");
            process::exit(2);
        }
    }
}
