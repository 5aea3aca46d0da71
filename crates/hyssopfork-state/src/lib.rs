//! Aggregates of the replicated state, applied deterministically.
