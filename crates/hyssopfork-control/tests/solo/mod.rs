//! A single control instance that is a quorum by itself; the tests control its disk and clock.

mod answering;
pub mod fixture;
mod groups;
mod interests;
mod leases;
