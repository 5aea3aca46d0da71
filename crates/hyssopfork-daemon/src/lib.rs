//! Daemon of the control, entry and agent roles.
