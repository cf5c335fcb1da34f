//! The operators' command-line tool.

use std::fmt::Display;
use std::io::{ErrorKind, Write as _};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bergamot_config::Document;
use bergamot_net::fetch;
use bergamot_policy::Policy;
use bergamotstand::{Failure, Losses, draw_losses, explain_request, load_settings, usage};
use gumdrop::Options;

const PROGRAM: &str = "bergamotctl";
const ABOUT: &str =
    "validates documents and settings, prints the state of daemons and analyses their logs";

/// The timeout of an exchange with a daemon.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "validate settings files and configuration documents")]
    Check(Check),
    #[options(help = "print the state or the metrics of daemons")]
    Dump(Dump),
    #[options(help = "print the addresses that an entry returns to callers")]
    Addresses(Addresses),
    #[options(help = "print the log lines that explain a request, from logs on standard input")]
    Explain(Explain),
    #[options(help = "print the policy mechanisms with their parameters and the reasons for them")]
    Policy(PolicyOptions),
    #[options(help = "print score losses by route, reason and time, from logs on standard input")]
    Losses(LossesOptions),
}

#[derive(Debug, Options)]
struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "a settings file (INI)", meta = "FILE")]
    settings: Vec<PathBuf>,
    #[options(help = "a configuration document (JSON)", meta = "FILE")]
    document: Vec<PathBuf>,
    #[options(help = "print valid documents as text")]
    print: bool,
}

#[derive(Debug, Options)]
struct Dump {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the admin address of a daemon, such as 127.0.0.1:7403")]
    admin: Vec<SocketAddr>,
    #[options(help = "print the metrics instead of the state")]
    metrics: bool,
}

#[derive(Debug, Options)]
struct Addresses {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the callers' address of an entry, such as 127.0.0.1:7400")]
    entry: Vec<SocketAddr>,
    #[options(help = "the caller's availability zone", meta = "ZONE")]
    zone: Option<String>,
}

#[derive(Debug, Options)]
struct Explain {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the identifier of the request")]
    request: Vec<String>,
}

#[derive(Debug, Options)]
struct LossesOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "draw the losses over time to this file (SVG)", meta = "FILE", no_short)]
    plot: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct PolicyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "print only these mechanisms")]
    names: Vec<String>,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&args) {
        Ok(arguments) => arguments,
        Err(error) => {
            return Failure::Usage { cause: error.to_string() }.report(PROGRAM);
        }
    };
    if arguments.version {
        return exit_code(print(format_args!("{PROGRAM} {}\n", env!("CARGO_PKG_VERSION"))));
    }
    let result = match arguments.command {
        Some(Command::Check(options)) if options.help => print_help::<Check>("check"),
        Some(Command::Dump(options)) if options.help => print_help::<Dump>("dump"),
        Some(Command::Addresses(options)) if options.help => print_help::<Addresses>("addresses"),
        Some(Command::Explain(options)) if options.help => print_help::<Explain>("explain"),
        Some(Command::Losses(options)) if options.help => print_help::<LossesOptions>("losses"),
        Some(Command::Policy(options)) if options.help => print_help::<PolicyOptions>("policy"),
        Some(Command::Check(options)) => check(&options),
        Some(Command::Dump(options)) => dump(&options),
        Some(Command::Addresses(options)) => addresses(&options),
        Some(Command::Explain(options)) => explain(&options),
        Some(Command::Losses(options)) => print_losses(&options),
        Some(Command::Policy(options)) => print_policy(&options),
        None if arguments.help => print_help::<Arguments>(""),
        None => Err(usage_error(
            "missing command; expected check, dump, addresses, explain, losses or policy",
        )),
    };
    exit_code(result)
}

fn exit_code(result: Result<(), Failure>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(PROGRAM),
    }
}

/// Writes to standard output. A reader that closes the pipe early, such as `head`, is not an
/// error.
fn print(text: impl Display) -> Result<(), Failure> {
    match write!(std::io::stdout().lock(), "{text}") {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result.map_err(Failure::failed),
    }
}

fn print_help<T: Options>(command: &str) -> Result<(), Failure> {
    print(format_args!("{}\n", usage::<T>(format!("{PROGRAM} {command}").trim_end(), ABOUT)))
}

fn usage_error(cause: &str) -> Failure {
    Failure::Usage { cause: cause.to_owned() }
}

fn check(options: &Check) -> Result<(), Failure> {
    if options.settings.is_empty() && options.document.is_empty() {
        return Err(usage_error("check requires --settings FILE or --document FILE"));
    }
    for path in &options.settings {
        load_settings(path)?;
        print(format_args!("{}: settings are valid\n", path.display()))?;
    }
    for path in &options.document {
        let document = load_document(path)?;
        let (path, revision) = (path.display(), document.revision);
        print(format_args!("{path}: document is valid, revision {revision}\n"))?;
        if options.print {
            print(document)?;
        }
    }
    Ok(())
}

fn load_document(path: &Path) -> Result<Document, Failure> {
    let name = path.to_string_lossy();
    let text = std::fs::read(path).map_err(|source| Failure::Unreadable {
        step: bergamot_base::Step("read document"),
        peer: bergamot_base::Peer::File(name.as_ref().into()),
        source,
    })?;
    Document::parse(&text).map_err(|error| Failure::Refused { source: error.with_file(&name) })
}

fn dump(options: &Dump) -> Result<(), Failure> {
    if options.admin.is_empty() {
        return Err(usage_error("dump requires the admin address of at least one daemon"));
    }
    let path = if options.metrics { "/metrics" } else { "/state" };
    options.admin.iter().try_for_each(|admin| print_reply(*admin, path))
}

fn addresses(options: &Addresses) -> Result<(), Failure> {
    let [entry] = options.entry[..] else {
        return Err(usage_error("addresses requires the callers' address of exactly one entry"));
    };
    let zone = options.zone.as_ref().map(|zone| format!("?zone={zone}")).unwrap_or_default();
    print_reply(entry, &format!("/v1/addresses{zone}"))
}

fn explain(options: &Explain) -> Result<(), Failure> {
    let [request] = options.request.as_slice() else {
        return Err(usage_error("explain requires the identifier of exactly one request"));
    };
    let log = std::io::read_to_string(std::io::stdin()).map_err(Failure::failed)?;
    let lines = explain_request(&log, request);
    if lines.is_empty() {
        return Err(Failure::failed(format!("no log line contains request {request}")));
    }
    print(lines.join("\n") + "\n")
}

fn print_losses(options: &LossesOptions) -> Result<(), Failure> {
    let log = std::io::read_to_string(std::io::stdin()).map_err(Failure::failed)?;
    let losses = Losses::parse(&log);
    if losses.intervals.is_empty() {
        return Err(Failure::failed("no log line reports the end of a request"));
    }
    print(&losses)?;
    let Some(path) = &options.plot else { return Ok(()) };
    let failed = |error| Failure::failed(format!("draw {}: {error}", path.display()));
    draw_losses(&losses, path).map_err(failed)
}

fn print_policy(options: &PolicyOptions) -> Result<(), Failure> {
    // Validates the names in the same way as the daemons do.
    Policy::default()
        .without(&options.names)
        .map_err(|unknown| usage_error(&unknown.to_string()))?;
    for mechanism in Policy::default().mechanisms() {
        if options.names.is_empty() || options.names.iter().any(|name| name == mechanism.name) {
            print(format_args!("{mechanism}\n"))?;
        }
    }
    Ok(())
}

#[tokio::main(flavor = "current_thread")]
async fn print_reply(daemon: SocketAddr, path: &str) -> Result<(), Failure> {
    let local = Ipv4Addr::UNSPECIFIED;
    let reply = fetch(local, daemon, path, EXCHANGE_TIMEOUT).await.map_err(Failure::failed)?;
    let text = String::from_utf8_lossy(reply.body());
    if !reply.status().is_success() {
        let status = reply.status();
        return Err(Failure::failed(format!("get {path} {daemon}: status {status}: {text}")));
    }
    print(format_args!("{}\n", text.trim_end()))
}
