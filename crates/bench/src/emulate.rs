//! Simulations of the policy without sockets, with given mechanisms switched off or each of
//! them in turn.

use std::error::Error;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

use bergamot_model::{Crash, Load, Pauses, run};
use bergamot_policy::{NAMES, Policy};
use plotters::prelude::{
    BLUE, ChartBuilder, Color, IntoDrawingArea, IntoSegmentedCoord, Rectangle, SVGBackend,
    SegmentValue, WHITE,
};

/// The size of a plot, in points.
const PLOT_SIZE: (u32, u32) = (900, 420);

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seeds.
    pub seeds: Range<u64>,
    /// The duration of load.
    pub duration: Duration,
    /// How searchers pause: `never`, `recurring` or `random`.
    pub pauses: String,
    /// The time between the starts of two pauses.
    pub every: Duration,
    /// The length of a pause.
    pub length: Duration,
    /// A factor on the default request rates.
    pub rate_factor: f64,
    /// The one-way delay between regions.
    pub region_delay: Duration,
    /// The percentage of searchers that crash.
    pub crash_percent: usize,
    /// The mechanisms that are switched off.
    pub without: Vec<String>,
    /// Whether each mechanism is switched off in turn.
    pub ablate: bool,
}

/// The result of the runs with a set of mechanisms switched off.
#[derive(Clone, Debug)]
pub struct Run {
    /// The mechanisms that are switched off.
    pub without: String,
    /// The mean value of a request, averaged over the seeds.
    pub worth: f64,
}

impl Plan {
    fn load(&self, seed: u64, policy: &Policy) -> Result<Load, String> {
        let (every, length) = (self.every, self.length);
        let pauses = match &*self.pauses {
            "never" => Pauses::Never,
            "recurring" => Pauses::Recurring { every, length },
            "random" => Pauses::Random { every, length },
            other => return Err(format!("pauses {other}, allowed: never, recurring or random")),
        };
        if length >= every {
            return Err(format!(
                "pause length {length:?}, allowed: less than the interval {every:?}"
            ));
        }
        if !(0.01..=100.0).contains(&self.rate_factor) {
            return Err(format!("times {}, allowed: 0.01 to 100", self.rate_factor));
        }
        let default = Load::default();
        let streams = default.streams.iter().cloned().map(|mut stream| {
            stream.rate_per_s *= self.rate_factor;
            stream
        });
        // Searchers crash after a third of the run, when members have statistics on them.
        let crash = Crash {
            percent: self.crash_percent,
            at: self.duration / 3,
            duration: Duration::from_secs(3),
        };
        Ok(Load {
            seed,
            duration: self.duration,
            pauses,
            inter_region_latency: self.region_delay,
            streams: streams.collect(),
            crash: (self.crash_percent > 0).then_some(crash),
            policy: *policy,
            ..default
        })
    }

    fn run(&self, without: &[String]) -> Result<Run, String> {
        let policy = Policy::default().without(without).map_err(|unknown| unknown.to_string())?;
        let mut worth = 0.0;
        for seed in self.seeds.clone() {
            let report = run(&self.load(seed, &policy)?);
            println!("without [{}] seed {seed}\n{report}", without.join(", "));
            worth += report.worth();
        }
        let worth = worth / self.seeds.clone().count().max(1) as f64;
        Ok(Run { without: without.join(", "), worth })
    }
}

/// Runs a plan and prints the report of each run.
pub fn run_plan(plan: &Plan) -> Result<Vec<Run>, String> {
    let mut runs = vec![plan.run(&plan.without)?];
    if plan.ablate {
        for name in NAMES.iter().filter(|name| !plan.without.iter().any(|off| off == *name)) {
            let mut without = plan.without.clone();
            without.push((*name).to_owned());
            runs.push(plan.run(&without)?);
        }
    }
    println!("| without | worth | difference |\n|---|---|---|");
    let baseline = runs[0].worth;
    for run in &runs {
        println!("| {} | {:.4} | {:+.4} |", run.without, run.worth, run.worth - baseline);
    }
    Ok(runs)
}

/// Plots the loss of each run, as a percentage of the requested value.
pub fn draw(runs: &[Run], path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let lost = |run: &Run| (1.0 - run.worth) * 100.0;
    let highest = runs.iter().map(lost).fold(0.1, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .caption("lost, % of the worth asked for, by what is off", ("sans-serif", 16))
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((0..runs.len()).into_segmented(), 0.0..highest * 1.05)?;
    let name = |value: &SegmentValue<usize>| match value {
        SegmentValue::CenterOf(at) | SegmentValue::Exact(at) => {
            runs.get(*at).map(|run| run.without.clone()).unwrap_or_default()
        }
        SegmentValue::Last => String::new(),
    };
    let mut mesh = chart.configure_mesh();
    mesh.disable_x_mesh().x_labels(runs.len()).x_label_formatter(&name).draw()?;
    let bars = runs.iter().enumerate().map(|(at, run)| {
        let corners = [(SegmentValue::Exact(at), 0.0), (SegmentValue::Exact(at + 1), lost(run))];
        let mut bar = Rectangle::new(corners, BLUE.mix(0.6).filled());
        bar.set_margin(0, 0, 6, 6);
        bar
    });
    chart.draw_series(bars)?;
    root.present()?;
    Ok(())
}
