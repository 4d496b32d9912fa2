//! The memory of `weirusher node` under trouble. These tests use all processors, so they are a program of their own that
//! does not run beside tests of short times.

#[path = "../support/platform.rs"]
mod platform;
#[expect(dead_code, reason = "the harness has parts for the tests in tests/node")]
#[path = "../node/support.rs"]
mod support;

mod memory_limits;
