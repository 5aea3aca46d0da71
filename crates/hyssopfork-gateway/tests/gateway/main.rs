//! The entry's decisions, driven without network or clock.

mod answer;
mod budget;
mod choice;
mod cold;
mod crash;
mod fixture;
mod health;
mod holds;
mod limit;
mod moves;
mod overload;
mod rate_limit;
mod returns;
mod scanner;
mod serve;
mod table;
