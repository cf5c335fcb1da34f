//! Command-line tool for load generation, fault injection and experiments.

use std::process::ExitCode;
use std::time::Duration;

use bergamot_base::Seed;
use bergamot_bench::check::check;
use bergamot_bench::experiment::{self, Comparison, Plan, Run, Scenario};
use bergamot_bench::history::{Ending, History};
use bergamot_bench::leaving::{self, LeaveSignal};
use bergamot_bench::storm::Storm;
use bergamot_bench::{capacity, cold, converge, emulate, plot, quickstart, stand_ins};
use bergamot_config::Settings;
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
    #[options(help = "run both reference tenants with stand-ins, and check the history")]
    Quickstart(Quickstart),
    #[options(help = "run the stand-ins of one tenant, for daemons started by hand")]
    StandIns(StandIns),
    #[options(help = "run pairs of faults under load, drawn from seeds, and check the history")]
    Storm(StormOptions),
    #[options(help = "compare the policy with the naive plan on matched seeds")]
    Policy(PolicyOptions),
    #[options(help = "measure how long leaving searchers still receive new sub-queries")]
    Leaving(LeavingOptions),
    #[options(help = "simulate the policy under load, without sockets")]
    Model(ModelOptions),
    #[options(help = "simulate how long fleet membership takes to converge, without sockets")]
    Fleet(FleetOptions),
    #[options(help = "simulate ways to limit the requests to cold searchers, without sockets")]
    Cold(ColdOptions),
    #[options(help = "measure the costs and rewrite the tables of docs/CAPACITY.md")]
    Capacity(Capacity),
}

#[derive(Debug, Options)]
struct StormOptions {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "the first seed", default = "1")]
    seed: u64,
    #[options(help = "how many seeds", default = "3")]
    seeds: u64,
    #[options(help = "how many rounds a seed", default = "6")]
    rounds: usize,
}

#[derive(Debug, Options)]
struct PolicyOptions {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "the first seed", default = "1")]
    seed: u64,
    #[options(help = "how many seeds", default = "1")]
    seeds: u64,
    #[options(help = "how many seconds of load a run", default = "8")]
    seconds: u64,
    #[options(help = "only scenarios whose names contain this", meta = "NAME")]
    only: Option<String>,
    #[options(help = "save NAME.csv and NAME.svg", meta = "NAME")]
    save: Option<std::path::PathBuf>,
}

#[derive(Debug, Options)]
struct LeavingOptions {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "the first seed", default = "1")]
    seed: u64,
    #[options(help = "how many seeds", default = "3")]
    seeds: u64,
}

#[derive(Debug, Options)]
struct FleetOptions {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "the seed", default = "1")]
    seed: u64,
    #[options(help = "how many members; may be given several times", meta = "N")]
    members: Vec<usize>,
}

#[derive(Debug, Options)]
struct ColdOptions {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "how many seeds", default = "20")]
    seeds: u64,
}

#[derive(Debug, Options)]
struct ModelOptions {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "the first seed", default = "1")]
    seed: u64,
    #[options(help = "how many seeds", default = "3")]
    seeds: u64,
    #[options(help = "how many seconds of load a run", default = "30")]
    seconds: u64,
    #[options(help = "never, recurring or random", default = "recurring", meta = "HOW")]
    pauses: String,
    #[options(help = "the length of a pause in milliseconds", default = "250", meta = "MS")]
    length: u64,
    #[options(
        help = "the time between the starts of two pauses in milliseconds",
        default = "6000",
        meta = "MS"
    )]
    every: u64,
    #[options(help = "a factor on the default request rates", default = "1", no_short)]
    times: f64,
    #[options(help = "the one-way delay between regions in milliseconds", default = "8", no_short)]
    far: u64,
    #[options(
        help = "the percentage of searchers that crash for three seconds",
        default = "0",
        no_short
    )]
    crash: usize,
    #[options(help = "switch off a mechanism of the policy", meta = "NAME", no_short)]
    without: Vec<String>,
    #[options(help = "run with each mechanism off in turn, beside all on", no_short)]
    ablate: bool,
    #[options(help = "plot the loss of each run to this file (SVG)", meta = "FILE", no_short)]
    plot: Option<std::path::PathBuf>,
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
    #[options(help = "only the request path of the platform's daemon", no_short)]
    relay: bool,
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
        Some(Command::Storm(options)) if !options.help => run_storms(&options),
        Some(Command::Storm(_)) => help::<StormOptions>("storm"),
        Some(Command::Policy(options)) if !options.help => compare_policies(&options),
        Some(Command::Policy(_)) => help::<PolicyOptions>("policy"),
        Some(Command::Leaving(options)) if !options.help => measure_leaving(&options),
        Some(Command::Leaving(_)) => help::<LeavingOptions>("leaving"),
        Some(Command::Model(options)) if !options.help => run_model(&options),
        Some(Command::Model(_)) => help::<ModelOptions>("model"),
        Some(Command::Fleet(options)) if !options.help => measure_fleets(&options),
        Some(Command::Fleet(_)) => help::<FleetOptions>("fleet"),
        Some(Command::Cold(options)) if !options.help => compare_cold_limits(&options),
        Some(Command::Cold(_)) => help::<ColdOptions>("cold"),
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

#[tokio::main]
async fn run_storms(options: &StormOptions) -> ExitCode {
    let mut violations = 0;
    for seed in options.seed..options.seed + options.seeds {
        match run_storm(seed, options.rounds).await {
            Ok(found) => violations += found,
            Err(fault) => {
                eprintln!("{PROGRAM}: {fault}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("storm: seeds={} rounds={} violations={violations}", options.seeds, options.rounds);
    if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs the rounds of one seed and returns the number of violations.
async fn run_storm(seed: u64, rounds: usize) -> Result<usize, bergamot_net::NetworkError> {
    let block = [45, 1 + (seed % 200) as u8];
    let mut storm = Storm::start(Seed(seed), block, Settings::default()).await?;
    let mut total = History::default();
    for round in 0..rounds {
        let (history, [first, second]) = storm.round().await?;
        let (offered, complete) = (history.requests.len(), history.count(Ending::Complete));
        println!(
            "seed {seed} round {round}: {first} and {second}: offered {offered} complete {complete}"
        );
        total.requests.extend(history.requests);
    }
    let (peak, over) = storm.finish(&mut total);
    let violations = check(&total);
    for violation in &violations {
        println!("violation {violation}");
    }
    println!("seed {seed}: peak connections {:.0}% of the limit, {over} above it", peak * 100.0);
    Ok(violations.len())
}

fn compare_policies(options: &PolicyOptions) -> ExitCode {
    let result = run_comparisons(options).and_then(|runs| {
        let Some(path) = &options.save else { return Ok(()) };
        experiment::save(&runs, &path.with_extension("csv")).map_err(|error| error.to_string())?;
        plot::draw(&runs, &path.with_extension("svg")).map_err(|error| error.to_string())
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run_comparisons(options: &PolicyOptions) -> Result<Vec<Run>, String> {
    let time = Duration::from_secs(options.seconds);
    let only = options.only.as_deref().unwrap_or_default();
    let mut runs = Vec::new();
    let mut overall: Option<Comparison> = None;
    for seed in options.seed..options.seed + options.seeds {
        for scenario in Scenario::ALL {
            if !format!("{scenario:?}").contains(only) {
                continue;
            }
            let mut pair = Vec::new();
            for (plan, block) in [(Plan::Naive, 47), (Plan::Chosen, 48)] {
                let run = experiment::run(scenario, plan, Seed(seed), time, block)
                    .await
                    .map_err(|fault| fault.to_string())?;
                let peak = run.peak * 100.0;
                println!(
                    "\n{scenario:?} {plan:?} seed {seed}: dials {} peak {peak:.0}% over {}",
                    run.dials, run.over_limit
                );
                print!("{}", run.scores);
                pair.push(run);
            }
            let ratio = Comparison::of(&pair[0], &pair[1]);
            println!("{scenario:?} seed {seed}: {}", ratio.summary_line());
            overall = Some(overall.map_or(ratio, |worst| worst.worse(ratio)));
            runs.extend(pair);
        }
    }
    if let Some(worst) = overall {
        println!("\n{}", worst.summary_line());
    }
    Ok(runs)
}

#[tokio::main]
async fn measure_leaving(options: &LeavingOptions) -> ExitCode {
    println!("| word | seed | searchers | p50 ms | p90 ms | worst ms |\n|---|---|---|---|---|---|");
    for signal in [LeaveSignal::Answers, LeaveSignal::List] {
        for seed in options.seed..options.seed + options.seeds {
            let block =
                [46, 1 + (seed % 100) as u8 + if signal == LeaveSignal::List { 100 } else { 0 }];
            let times = match leaving::run(Seed(seed), block, signal).await {
                Ok(times) => times,
                Err(fault) => {
                    eprintln!("{PROGRAM}: {fault}");
                    return ExitCode::FAILURE;
                }
            };
            let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_millis();
            println!(
                "| {signal:?} | {seed} | {} | {} | {} | {} |",
                times.len(),
                at(0.5),
                at(0.9),
                at(1.0)
            );
        }
    }
    ExitCode::SUCCESS
}

fn run_model(options: &ModelOptions) -> ExitCode {
    let plan = emulate::Plan {
        seeds: options.seed..options.seed + options.seeds,
        duration: Duration::from_secs(options.seconds),
        pauses: options.pauses.clone(),
        every: Duration::from_millis(options.every),
        length: Duration::from_millis(options.length),
        rate_factor: options.times,
        region_delay: Duration::from_millis(options.far),
        crash_percent: options.crash,
        without: options.without.clone(),
        ablate: options.ablate,
    };
    let result = emulate::run_plan(&plan).and_then(|runs| {
        let Some(path) = &options.plot else { return Ok(()) };
        emulate::draw(&runs, path).map_err(|error| format!("draw {}: {error}", path.display()))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{PROGRAM}: {cause}");
            ExitCode::from(2)
        }
    }
}

/// The default fleet sizes: small, medium, large, and the design size.
const FLEET_SIZES: [usize; 4] = [8, 75, 300, 1800];

/// The largest fleet size. The views of more members exceed the memory of a small machine.
const MAX_FLEET_SIZE: usize = 4000;

fn measure_fleets(options: &FleetOptions) -> ExitCode {
    let sizes = if options.members.is_empty() { &FLEET_SIZES[..] } else { &options.members };
    if let Some(size) = sizes.iter().find(|size| !(2..=MAX_FLEET_SIZE).contains(*size)) {
        eprintln!("{PROGRAM}: members {size}, allowed: 2 to {MAX_FLEET_SIZE}");
        return ExitCode::from(2);
    }
    println!("seed {}\n\n{}", options.seed, converge::Row::HEAD);
    for size in sizes {
        for row in converge::measure(&[*size], options.seed) {
            println!("{row}");
        }
    }
    ExitCode::SUCCESS
}

fn compare_cold_limits(options: &ColdOptions) -> ExitCode {
    println!("seeds 1 to {}\n\n{}", options.seeds, cold::Row::HEAD);
    for row in cold::measure(&[6, 90, 300, 1800], options.seeds) {
        println!("{row}");
    }
    ExitCode::SUCCESS
}

fn measure_capacity(options: &Capacity) -> ExitCode {
    let run = if options.relay { capacity::run_relay } else { capacity::run };
    match run(&options.page, options.quick) {
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
            eprintln!("{PROGRAM}: write files to {}: {error}", options.out.display());
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
    println!("{}", summary.summary_line());
    if summary.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
