//! Logs by tracing, bounded under a flood.

use std::io::{self, IsTerminal, Write};
use std::sync::Mutex;
use std::time::Instant;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines a second, and lines that may come at once; further ones are dropped and counted.
const LINES: (f64, f64) = (200.0, 1000.0);

/// Standard error behind a token bucket: what fails thousands of times a second must not fill a disk.
struct Bounded {
    state: Mutex<State>,
}

struct State {
    level: f64,
    at: Instant,
    dropped: u64,
}

/// One line's writer: standard error, or nothing.
enum Out {
    Pass,
    Drop,
}

impl Write for Out {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Self::Pass => io::stderr().write(bytes),
            Self::Drop => Ok(bytes.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stderr().flush()
    }
}

impl State {
    fn take(&mut self) -> (bool, u64) {
        let now = Instant::now();
        self.level = (self.level + now.duration_since(self.at).as_secs_f64() * LINES.0).min(LINES.1);
        self.at = now;
        if self.level < 1.0 {
            self.dropped += 1;
            return (false, 0);
        }
        self.level -= 1.0;
        (true, std::mem::take(&mut self.dropped))
    }
}

impl<'a> MakeWriter<'a> for Bounded {
    type Writer = Out;

    fn make_writer(&'a self) -> Out {
        let (pass, dropped) = self.state.lock().expect("no holder panics").take();
        if dropped > 0 {
            let _ = writeln!(io::stderr(), "{dropped} log lines were dropped"); // Nowhere else to say it.
        }
        if pass { Out::Pass } else { Out::Drop }
    }
}

/// Starts logging to standard error.
pub fn start(json: bool) {
    let state = State { level: LINES.1, at: Instant::now(), dropped: 0 };
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn,weirusher_node=info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(Bounded { state: Mutex::new(state) });
    if json { builder.json().init() } else { builder.init() }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_dropped_and_counted() {
        let mut state =
            State { level: 2.0, at: Instant::now() + std::time::Duration::from_secs(3600), dropped: 0 };
        let taken: Vec<bool> = (0..5).map(|_| state.take().0).collect();
        assert_eq!(taken.iter().filter(|t| **t).count(), 2);
        assert_eq!(state.dropped, 3);
    }
}
