//! One control instance that is a quorum by itself, with its disk and clock in the test's hands.

mod answering;
pub mod fixture;
mod groups;
mod interests;
mod leases;
