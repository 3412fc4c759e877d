//! Implementations of the commands.

mod caller;
mod check;
mod config;
mod explain;
mod load;
mod operator;

use crate::{arguments::Options, error::Result};

/// Runs one command.
pub(crate) async fn execute(options: Options) -> Result<()> {
    match options {
        Options::Check { file } => check::check(&file),
        Options::Status { endpoint } => operator::status(&endpoint).await,
        Options::Targets { endpoint } => operator::targets(&endpoint).await,
        Options::Config(command) => config::execute(command).await,
        Options::Drain { endpoint, target } => operator::drain(&endpoint, &target, true).await,
        Options::Undrain { endpoint, target } => operator::drain(&endpoint, &target, false).await,
        Options::Requests { endpoint } => operator::requests(&endpoint).await,
        Options::Keys(command) => operator::keys(command).await,
        Options::LogLevel { endpoint, level } => operator::log_level(&endpoint, &level).await,
        Options::Addresses {
            caller_endpoint,
            zone,
        } => caller::addresses(&caller_endpoint, zone.as_deref()).await,
        Options::Load(arguments) => load::load(arguments).await,
        Options::Explain { log, json, id } => explain::explain(&log, json, &id),
        Options::Plot { svg, reports } => load::plot(&svg, &reports),
        Options::Complete {
            caller_endpoint,
            model,
            max_tokens,
            idempotency_key,
            prompt,
        } => {
            let request = caller::CompletionRequest {
                model,
                max_tokens,
                idempotency_key,
                prompt,
            };
            caller::complete(&caller_endpoint, &request).await
        }
    }
}
