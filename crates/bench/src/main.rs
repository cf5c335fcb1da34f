//! The load and experiment tool.

use std::process::ExitCode;
use std::time::Duration;

use bergamot_base::Seed;
use bergamot_bench::{capacity, quickstart, stand_ins};
use gumdrop::Options;

const PROGRAM: &str = "bergamot-bench";

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "show the version", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run both tenants of the brief with stand-ins, and check the history")]
    Quickstart(Quickstart),
    #[options(help = "run the stand-ins of one tenant, for daemons started by hand")]
    StandIns(StandIns),
    #[options(help = "measure the slopes and rewrite the tables of docs/CAPACITY.md")]
    Capacity(Capacity),
}

#[derive(Debug, Options)]
struct Capacity {
    #[options(help = "show this text")]
    help: bool,
    #[options(
        help = "the page whose tables are rewritten",
        default = "docs/CAPACITY.md",
        meta = "FILE"
    )]
    page: std::path::PathBuf,
    #[options(help = "fewer and smaller sizes, for a quick look")]
    quick: bool,
}

#[derive(Debug, Options)]
struct StandIns {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "fraser-basin or caldermuir", default = "fraser-basin")]
    tenant: String,
    #[options(help = "the seed", default = "1")]
    seed: u64,
    #[options(
        help = "where to write the document and the settings",
        default = "run",
        meta = "DIR"
    )]
    out: std::path::PathBuf,
}

#[derive(Debug, Options)]
struct Quickstart {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "the seed", default = "1")]
    seed: u64,
    #[options(help = "how many seconds of load", default = "5")]
    seconds: u64,
    #[options(help = "save the history to this file", meta = "FILE")]
    history: Option<std::path::PathBuf>,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&args) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            return ExitCode::from(2);
        }
    };
    if arguments.version {
        println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match arguments.command {
        Some(Command::Quickstart(options)) if !options.help => quick_start(&options),
        Some(Command::Quickstart(_)) => help::<Quickstart>("quickstart"),
        Some(Command::StandIns(options)) if !options.help => run_stand_ins(&options),
        Some(Command::Capacity(options)) if !options.help => measure_capacity(&options),
        Some(Command::Capacity(_)) => help::<Capacity>("capacity"),
        Some(Command::StandIns(_)) => help::<StandIns>("stand-ins"),
        None => help::<Arguments>(""),
    }
}

fn help<T: Options>(command: &str) -> ExitCode {
    println!("Usage: {PROGRAM} {command}\n\n{}", T::usage());
    if let Some(commands) = T::command_list() {
        println!("\nCommands:\n{commands}");
    }
    ExitCode::SUCCESS
}

fn measure_capacity(options: &Capacity) -> ExitCode {
    match capacity::run(&options.page, options.quick) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: rewrite {}: {error}", options.page.display());
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run_stand_ins(options: &StandIns) -> ExitCode {
    let Some(deployment) = stand_ins::tenant(&options.tenant, Seed(options.seed)) else {
        eprintln!("{PROGRAM}: tenant {}, allowed: fraser-basin or caldermuir", options.tenant);
        return ExitCode::from(2);
    };
    let written = match stand_ins::write_files(&deployment, &options.out) {
        Ok(written) => written,
        Err(error) => {
            eprintln!("{PROGRAM}: write files {}: {error}", options.out.display());
            return ExitCode::FAILURE;
        }
    };
    let _running = match stand_ins::start(deployment).await {
        Ok(running) => running,
        Err(fault) => {
            eprintln!("{PROGRAM}: {fault}");
            return ExitCode::FAILURE;
        }
    };
    for path in written {
        println!("wrote {}", path.display());
    }
    println!("stand-ins of {} are running; stop with SIGINT or SIGTERM", options.tenant);
    match bergamot_node::stop_signal(false).await {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: wait for a signal: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn quick_start(options: &Quickstart) -> ExitCode {
    let time = Duration::from_secs(options.seconds);
    println!("quickstart: seed {}, {} s of load", options.seed, options.seconds);
    let summary = match quickstart::run(Seed(options.seed), time, [[41, 1], [41, 2]]).await {
        Ok(summary) => summary,
        Err(fault) => {
            eprintln!("{PROGRAM}: {fault}");
            return ExitCode::FAILURE;
        }
    };
    if let Some(path) = &options.history {
        let saved = std::fs::File::create(path)
            .map(std::io::BufWriter::new)
            .and_then(|mut file| summary.history.save(&mut file));
        if let Err(error) = saved {
            eprintln!("{PROGRAM}: save history {}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    println!("{}", summary.line());
    if summary.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
