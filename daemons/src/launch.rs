//! Starts and stops a daemon.

use std::fmt;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use bergamot_base::{Name, Peer, Step};
use bergamot_config::{Refusal, Settings};
use bergamot_node::{ShutdownMode, stop_signal};
use gumdrop::Options;
use snafu::Snafu;

/// The default log filter, which `RUST_LOG` overrides; tarpc logs every request at `info`.
const LOG_FILTER: &str = "info,tarpc=warn";

/// The exit code for invalid options, settings or documents.
const EXIT_INVALID_INPUT: u8 = 2;

/// Why a program exits with an error.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// A file cannot be read.
    #[snafu(display("{step} {peer}: {source}"))]
    Unreadable {
        /// The operation that failed.
        step: Step,
        /// The file.
        peer: Peer,
        /// The I/O error.
        source: std::io::Error,
    },
    /// Settings or a document are invalid.
    #[snafu(display("{source}"))]
    Refused {
        /// All faults that were found.
        source: Refusal,
    },
    /// A service or an exchange failed.
    #[snafu(display("{cause}"))]
    Failed {
        /// The cause, with its step and peer.
        cause: String,
    },
    /// The command-line options are invalid.
    #[snafu(display("{cause}"))]
    Usage {
        /// What is invalid.
        cause: String,
    },
}

impl Failure {
    /// Converts an error of a service or an exchange.
    pub fn failed(cause: impl fmt::Display) -> Self {
        Self::Failed { cause: cause.to_string() }
    }

    /// Prints the failure to standard error and returns its exit code.
    pub fn report(&self, program: &str) -> ExitCode {
        eprintln!("{program}: {self}");
        match self {
            Self::Failed { .. } => ExitCode::FAILURE,
            Self::Unreadable { .. } | Self::Refused { .. } | Self::Usage { .. } => {
                ExitCode::from(EXIT_INVALID_INPUT)
            }
        }
    }
}

/// Reads a text file.
fn read_file(step: &'static str, path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|source| {
        let peer = Peer::File(Name::from(path.to_string_lossy()));
        Failure::Unreadable { step: Step(step), peer, source }
    })
}

/// Reads and validates a settings file.
pub fn load_settings(path: &Path) -> Result<Settings, Failure> {
    let text = read_file("read settings", path)?;
    Settings::parse(&text)
        .map_err(|refusal| Failure::Refused { source: refusal.at(&path.to_string_lossy()) })
}

/// Returns the text of `--help`.
pub fn usage<T: Options>(program: &str, about: &str) -> String {
    let commands =
        T::command_list().map(|commands| format!("\n\nCommands:\n{commands}")).unwrap_or_default();
    format!("{program}: {about}\n\nUsage: {program} [OPTIONS]\n\n{}{commands}", T::usage())
}

/// The command-line options of a daemon.
#[expect(clippy::struct_excessive_bools, reason = "each is a flag of the command line")]
#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(help = "the settings file (INI)", meta = "FILE")]
    settings: Option<std::path::PathBuf>,
    #[options(help = "validate the settings and exit")]
    check: bool,
    #[options(help = "list every setting and exit")]
    list: bool,
}

/// The functions that start, watch and stop a service.
#[derive(Clone, Copy, Debug)]
pub struct Service<S, F, T> {
    /// Starts the service.
    pub start: S,
    /// Waits until the service has failed; may never return.
    pub failed: F,
    /// Stops the service gracefully.
    pub stop: T,
}

/// Runs a daemon: starts the service, waits for a stop signal or a failure, and stops the service
/// gracefully.
pub fn run_daemon<R, S, F, T>(program: &str, about: &str, service: &Service<S, F, T>) -> ExitCode
where
    S: AsyncFn(Arc<Settings>) -> Result<R, bergamot_net::Fault>,
    F: AsyncFn(&R),
    T: AsyncFn(R),
{
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = match DaemonOptions::parse_args_default(&args) {
        Ok(options) => options,
        Err(error) => {
            return Failure::Usage { cause: error.to_string() }.report(program);
        }
    };
    if options.help {
        println!("{}", usage::<DaemonOptions>(program, about));
        return ExitCode::SUCCESS;
    }
    if options.version {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if options.list {
        println!("{}", Settings::help());
        return ExitCode::SUCCESS;
    }
    let Some(path) = options.settings else {
        return Failure::Usage { cause: "missing required option --settings FILE".to_owned() }
            .report(program);
    };
    let settings = match load_settings(&path) {
        Ok(settings) => settings,
        Err(failure) => return failure.report(program),
    };
    if options.check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(LOG_FILTER)).init();
    match serve(settings, service) {
        Ok(code) => code,
        Err(failure) => failure.report(program),
    }
}

#[tokio::main]
async fn serve<R, S, F, T>(
    settings: Settings,
    service: &Service<S, F, T>,
) -> Result<ExitCode, Failure>
where
    S: AsyncFn(Arc<Settings>) -> Result<R, bergamot_net::Fault>,
    F: AsyncFn(&R),
    T: AsyncFn(R),
{
    // Signals that arrive during startup must also stop the daemon.
    let stop_request = tokio::spawn(stop_signal(false));
    tokio::pin!(stop_request);
    let running = tokio::select! {
        running = (service.start)(Arc::new(settings)) => running.map_err(Failure::failed)?,
        _ = &mut stop_request => return Ok(ExitCode::SUCCESS),
    };
    let code = tokio::select! {
        signal = &mut stop_request => {
            signal.map_err(Failure::failed)?.map_err(Failure::failed)?;
            ExitCode::SUCCESS
        }
        () = (service.failed)(&running) => ExitCode::FAILURE,
    };
    tokio::select! {
        () = (service.stop)(running) => Ok(code),
        signal = stop_signal(true) => match signal {
            Ok(ShutdownMode::Immediate) => Err(Failure::failed("stopped by SIGINT during the graceful stop")),
            Ok(ShutdownMode::Graceful) => Ok(code),
            Err(error) => Err(Failure::failed(error)),
        },
    }
}
