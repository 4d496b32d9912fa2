//! Response times of `weirusher node` beside clients that send at full speed. These tests use several processors, so they
//! are a program of their own that does not run beside others.

#[path = "../support/platform.rs"]
mod platform;
#[expect(dead_code, reason = "the harness has parts for the tests in tests/node")]
#[path = "../node/support.rs"]
mod support;

mod floods;
