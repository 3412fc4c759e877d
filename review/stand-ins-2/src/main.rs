//! Runs a case of the review: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod callers;
mod deadlines;
mod deployment;
mod directory;
mod drafts;
mod entries;
mod http;
mod json;
mod parts;
mod runner;
mod store;

use std::{env, path::PathBuf, process, sync::Arc};

use deployment::Record;

/// Result of a case.
pub type CaseResult = std::io::Result<bool>;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        process::exit(2);
    };
    if case == "crowd" {
        if let Err(error) = directory::run_crowd(folder) {
            eprintln!("the crowd could not run: {error}");
        }
        process::exit(2);
    }
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            process::exit(2);
        }
    };
    let result = match case.as_str() {
        "parts" => parts::run(&record, has_trouble),
        "deadlines" => deadlines::run(&record, has_trouble),
        "drafts" => drafts::run(&record, has_trouble),
        "entries" => entries::run(&record, has_trouble),
        "directory" => directory::run(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let status = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            2
        }
    };
    record.line(&format!("exit {status}"));
    process::exit(status);
}
