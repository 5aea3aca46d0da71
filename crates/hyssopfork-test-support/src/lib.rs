//! Fixtures and fakes at the interfaces.
