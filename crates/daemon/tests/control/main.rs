//! Tests of the table client, of the configuration and of the traffic between daemons.

mod config;
mod fake_table;
mod fleet;
mod peer;
mod table;
