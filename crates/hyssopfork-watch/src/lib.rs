//! Lease, view and choice of control instance of entries and agents, as a step function.
