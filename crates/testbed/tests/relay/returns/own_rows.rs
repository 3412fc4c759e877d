//! Rows that relays write themselves: the lease for stage orders and the registrations.
