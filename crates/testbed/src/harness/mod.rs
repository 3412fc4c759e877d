//! Starts stand-ins and daemons as processes.
