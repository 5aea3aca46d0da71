//! Scheduling of requests when there is too little capacity: who is served first, and who waits.

/// Priority at an upstream of a stream that continues: its client already receives it.
const CONTINUED_PRIORITY: u8 = 1;

/// Priority at an upstream of a request on time of the most urgent rank.
const ON_TIME_PRIORITY: u8 = 3;

/// Ranks below the most urgent one that upstreams distinguish: late requests come after all ranks.
const MAX_UPSTREAM_RANK: u32 = 3;

/// Priority at an upstream of a request that will be late in any case.
const LATE_PRIORITY: u8 = 8;

/// Progress of a request that is sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The client receives the stream, which another upstream has begun.
    Continued,
    /// The client states that it has received a part of the stream, which this process can't
    /// verify.
    Resumed,
    /// The response can still begin on time.
    OnTime,
    /// The response will begin late.
    Late,
}

/// Priority of a request among those that wait at its upstream, 0 for the first.
///
/// A stream that a client resumes precedes others as a request of the most urgent rank does and no
/// more, since any client can state that it resumes one.
pub fn upstream_priority(progress: Progress, rank: u32) -> u8 {
    match progress {
        Progress::Continued => CONTINUED_PRIORITY,
        Progress::Resumed => ON_TIME_PRIORITY,
        Progress::OnTime => ON_TIME_PRIORITY + rank.min(MAX_UPSTREAM_RANK) as u8,
        Progress::Late => LATE_PRIORITY,
    }
}
