//! Load tests of the planner against simulated engines that work in passes.

mod burst;
#[path = "../common/mod.rs"]
mod common;
mod mix;
mod play;
mod reservations;
mod turnover;
