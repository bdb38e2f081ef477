//! The shipped programs of passway; all code is in `crates/*`.
