//! Tests of the entry's core, grouped by the failures that it must handle.

#[path = "entry/claims.rs"]
mod claims;
#[path = "entry/fixture.rs"]
mod fixture;
#[path = "entry/requests.rs"]
mod requests;
#[path = "entry/retries.rs"]
mod retries;
#[path = "entry/stop.rs"]
mod stop;
#[path = "entry/streams.rs"]
mod streams;
