//! The package of the passway programs and of the tests; the code is in `crates/*`.
