//! Load tests of the planner against simulated engines that work in passes.

mod burst;
#[path = "../common/mod.rs"]
mod common;
mod fairness;
mod mix;
mod play;
mod reservations;
mod returns;
mod spreading;
mod turnover;
