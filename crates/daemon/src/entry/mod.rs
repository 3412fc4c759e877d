//! Listener for callers: keys, addresses, completions, service calls, answers by request id.
