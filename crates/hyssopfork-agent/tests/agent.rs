//! Tests of the agent's core, by the failures that it must tolerate.

#[path = "agent/admission.rs"]
mod admission;
#[path = "agent/attempts.rs"]
mod attempts;
#[path = "agent/fixture.rs"]
mod fixture;
#[path = "agent/group.rs"]
mod group;
#[path = "agent/stop.rs"]
mod stop;
