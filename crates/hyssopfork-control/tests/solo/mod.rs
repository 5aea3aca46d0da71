//! A single control instance that is a quorum by itself; the tests control its disk and clock.

pub mod fixture;
mod groups;
mod interests;
mod leases;
mod responses;
