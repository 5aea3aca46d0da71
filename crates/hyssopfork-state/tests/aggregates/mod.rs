//! One module for each aggregate.

mod claims;
mod fleet;
mod history;
mod machine;
mod placements;
mod rules;
mod upstream;
mod view;
