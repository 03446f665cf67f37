//! Tests of the command-line tool against a fake control instance.

mod documents;
mod explain;
mod fake_control;
mod keys;
mod members;
mod offline;
mod operations;
