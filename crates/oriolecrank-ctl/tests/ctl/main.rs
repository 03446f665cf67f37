//! Tests of the command-line tool against a stand-in for the control group.

mod control_stand_in;
mod documents;
mod explain;
mod keys;
mod members;
mod offline;
mod operations;
