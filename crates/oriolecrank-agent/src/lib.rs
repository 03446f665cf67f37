//! Part of oriolecrank.
