//! The `weirusher` command.
#![forbid(unsafe_code)]

mod arguments;
mod commands;
mod error;
mod output;
mod signals;

use arguments::{Arguments, Command, LogFormat, ScenarioArguments};
use clap::Parser;
use error::CommandError;
use std::process::ExitCode;
use std::time::Duration;

/// The exit code that the Rust runtime uses after a panic.
const PANIC_EXIT_CODE: u8 = 101;
/// Longest wait for the last log lines to be written. A gateway writes its last response at least 0.3 s before the
/// platform may kill it, and must exit within that time.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    weirusher_log::start(match arguments.log {
        LogFormat::Text => weirusher_log::Format::Text,
        LogFormat::Json => weirusher_log::Format::Json,
    });
    weirusher_panics::install_hook();
    let code = match std::panic::catch_unwind(|| run(arguments.command)) {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            output::report_error(&error);
            error.exit_code()
        }
        Err(_) => ExitCode::from(PANIC_EXIT_CODE), // The panic hook has already logged the panic.
    };
    weirusher_log::finish(LOG_FLUSH_TIMEOUT);
    code
}

fn run(command: Command) -> Result<ExitCode, CommandError> {
    // `node` builds its own runtime: the platform gives it one core, so its tasks share one thread and need no locks.
    if let Command::Node { config, fleet } = &command {
        return commands::gateway::node(config, fleet.as_deref());
    }
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(CommandError::Runtime)?;
    let result = runtime.block_on(async {
        match command {
            Command::Run { config } => commands::gateway::run(&config).await,
            Command::Node { .. } => unreachable!("`node` is handled above, with its own runtime"),
            Command::Fleet { admin, json } => commands::fleet::show(admin, json).await,
            Command::Check { file } => commands::gateway::check(&file),
            Command::Fake { fake } => commands::fake::run(fake).await,
            Command::Scenario(ScenarioArguments { file, no_load: true, capture, .. }) => {
                commands::scenario::run_without_load(&file, capture).await
            }
            Command::Scenario(ScenarioArguments { file, capture, json, .. }) => {
                commands::scenario::run(&file, capture, json).await
            }
            Command::Audit { capture, json } => commands::scenario::audit(&capture, json),
            Command::Simulate { schedules, from, json } => Ok(commands::simulate::run(from, schedules, json)),
        }
    });
    // Exit without waiting for blocking tasks that are still running.
    runtime.shutdown_background();
    result
}
