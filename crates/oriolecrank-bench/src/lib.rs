//! Measurements of oriolecrank.
//!
//! Each measurement is a module with a function `run`, which takes [`BenchArguments`], prints
//! [`Measurement`]s, one per line, and returns whether all targets are met. [`report`] plots the
//! printed lines.
//!
//! [`BenchArguments`]: arguments::BenchArguments
//! [`Measurement`]: measurement::Measurement

pub mod arguments;
pub mod control;
pub mod measurement;
pub mod path;
pub mod policy;
pub mod report;
pub mod route;
pub mod subscribers;
