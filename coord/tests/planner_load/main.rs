//! Plays loads on engines that work in passes, and looks at what callers get.

mod burst;
#[path = "../common/mod.rs"]
mod common;
mod mix;
mod play;
mod turnover;
