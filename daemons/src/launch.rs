//! Starting a daemon and stopping it.

use std::fmt;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use bergamot_base::{Name, Peer, Step};
use bergamot_config::{Refusal, Settings};
use bergamot_node::{ShutdownMode, stop_signal};
use gumdrop::Options;
use snafu::Snafu;

/// What is logged unless `RUST_LOG` says otherwise; tarpc logs every request at `info`.
const LOG_FILTER: &str = "info,tarpc=warn";

/// The exit code for wrong options, settings or documents.
const EXIT_USAGE: u8 = 2;

/// Why a program ends without success.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// A file can't be read.
    #[snafu(display("{step} {peer}: {source}"))]
    Unreadable {
        /// What was being done.
        step: Step,
        /// The file.
        peer: Peer,
        /// Why.
        source: std::io::Error,
    },
    /// Settings or a document were refused.
    #[snafu(display("{source}"))]
    Refused {
        /// Every fault.
        source: Refusal,
    },
    /// A service or an exchange failed.
    #[snafu(display("{cause}"))]
    Failed {
        /// What went wrong, with its step and peer.
        cause: String,
    },
    /// The options are wrong.
    #[snafu(display("{cause}"))]
    Usage {
        /// What is wrong with them.
        cause: String,
    },
}

impl Failure {
    /// Wraps the error of a service.
    pub fn failed(cause: impl fmt::Display) -> Self {
        Self::Failed { cause: cause.to_string() }
    }

    /// Prints the failure and returns the exit code for it.
    pub fn report(&self, program: &str) -> ExitCode {
        eprintln!("{program}: {self}");
        match self {
            Self::Failed { .. } => ExitCode::FAILURE,
            Self::Unreadable { .. } | Self::Refused { .. } | Self::Usage { .. } => {
                ExitCode::from(EXIT_USAGE)
            }
        }
    }
}

/// Reads a file as text.
fn read(step: &'static str, path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|source| {
        let peer = Peer::File(Name::from(path.to_string_lossy()));
        Failure::Unreadable { step: Step(step), peer, source }
    })
}

/// Reads and checks a settings file.
pub fn load_settings(path: &Path) -> Result<Settings, Failure> {
    let text = read("read settings", path)?;
    Settings::parse(&text)
        .map_err(|refusal| Failure::Refused { source: refusal.at(&path.to_string_lossy()) })
}

/// Returns the text of `--help`.
pub fn usage<T: Options>(program: &str, about: &str) -> String {
    let commands =
        T::command_list().map(|commands| format!("\n\nCommands:\n{commands}")).unwrap_or_default();
    format!("{program}: {about}\n\nUsage: {program} [OPTIONS]\n\n{}{commands}", T::usage())
}

/// The options of a daemon.
#[expect(clippy::struct_excessive_bools, reason = "each is a flag of the command line")]
#[derive(Debug, Options)]
struct Daemon {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "show the version", short = "V")]
    version: bool,
    #[options(help = "the settings file (INI)", meta = "FILE")]
    settings: Option<std::path::PathBuf>,
    #[options(help = "check the settings and exit")]
    check: bool,
    #[options(help = "list every setting and exit")]
    list: bool,
}

/// How a service is started, watched and stopped.
#[derive(Clone, Copy, Debug)]
pub struct Service<S, F, T> {
    /// Starts it.
    pub start: S,
    /// Waits until it has failed, which it may never do.
    pub failed: F,
    /// Stops it gracefully.
    pub stop: T,
}

/// Runs a daemon: starts a service, waits for a stop signal or its failure, and stops it
/// gracefully.
pub fn run<R, S, F, T>(program: &str, about: &str, service: &Service<S, F, T>) -> ExitCode
where
    S: AsyncFn(Arc<Settings>) -> Result<R, bergamot_net::Fault>,
    F: AsyncFn(&R),
    T: AsyncFn(R),
{
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = match Daemon::parse_args_default(&args) {
        Ok(options) => options,
        Err(error) => {
            return Failure::Usage { cause: error.to_string() }.report(program);
        }
    };
    if options.help {
        println!("{}", usage::<Daemon>(program, about));
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
        return Failure::Usage { cause: "--settings FILE is needed".to_owned() }.report(program);
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
    // Signals that arrive while the daemon starts must stop it too.
    let asked = tokio::spawn(stop_signal(false));
    tokio::pin!(asked);
    let running = tokio::select! {
        running = (service.start)(Arc::new(settings)) => running.map_err(Failure::failed)?,
        _ = &mut asked => return Ok(ExitCode::SUCCESS),
    };
    let code = tokio::select! {
        asked = &mut asked => {
            asked.map_err(Failure::failed)?.map_err(Failure::failed)?;
            ExitCode::SUCCESS
        }
        () = (service.failed)(&running) => ExitCode::FAILURE,
    };
    tokio::select! {
        () = (service.stop)(running) => Ok(code),
        asked = stop_signal(true) => match asked {
            Ok(ShutdownMode::Immediate) => Err(Failure::failed("stopped at once, as the operator asked")),
            Ok(ShutdownMode::Graceful) => Ok(code),
            Err(error) => Err(Failure::failed(error)),
        },
    }
}
