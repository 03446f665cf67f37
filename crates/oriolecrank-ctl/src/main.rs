//! Part of oriolecrank.
fn main() {}
