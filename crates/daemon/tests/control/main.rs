//! Tests of the control traffic: table client, configuration, other daemons.

mod config;
mod fake_table;
mod fleet;
mod peer;
mod table;
