//! Tests of the agent's core, by the failures that it must bear.

#[path = "agent/attempts.rs"]
mod attempts;
#[path = "agent/fixture.rs"]
mod fixture;
#[path = "agent/gate.rs"]
mod gate;
#[path = "agent/group.rs"]
mod group;
#[path = "agent/stop.rs"]
mod stop;
