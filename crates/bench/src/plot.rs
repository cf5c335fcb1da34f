//! SVG plots of experiments.

use std::error::Error;
use std::path::Path;

use plotters::prelude::{
    BLUE, ChartBuilder, Color, IntoDrawingArea, IntoSegmentedCoord, RED, Rectangle, SVGBackend,
    SegmentValue, WHITE,
};

use crate::experiment::{Plan, Run};

/// The size of a plot, in points.
const PLOT_SIZE: (u32, u32) = (900, 420);

/// Plots the 99th percentile of the worst service in each scenario, for both plans.
pub fn draw(runs: &[Run], path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let worst = |run: &Run| {
        let scores = run.scores.0.values();
        scores.map(|score| score.percentile(99.0).as_secs_f64() * 1e3).fold(0.0, f64::max)
    };
    let mut scenarios: Vec<String> = Vec::new();
    for run in runs {
        let name = format!("{:?}", run.scenario);
        if !scenarios.contains(&name) {
            scenarios.push(name);
        }
    }
    let highest = runs.iter().map(worst).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .caption("99th percentile, worst service, ms: naive red, chosen blue", ("sans-serif", 16))
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((0..scenarios.len()).into_segmented(), 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenarios.len())
        .x_label_formatter(&|value| match value {
            SegmentValue::CenterOf(i) | SegmentValue::Exact(i) => {
                scenarios.get(*i).cloned().unwrap_or_default()
            }
            SegmentValue::Last => String::new(),
        })
        .draw()?;
    for run in runs {
        let index = scenarios.iter().position(|name| *name == format!("{:?}", run.scenario));
        let Some(index) = index else { continue };
        let (color, margins) = match run.plan {
            Plan::Naive => (RED, (10, 50)),
            Plan::Chosen => (BLUE, (50, 10)),
        };
        let corners =
            [(SegmentValue::Exact(index), 0.0), (SegmentValue::Exact(index + 1), worst(run))];
        let mut bar = Rectangle::new(corners, color.filled());
        bar.set_margin(0, 0, margins.0, margins.1);
        chart.draw_series([bar])?;
    }
    root.present()?;
    Ok(())
}
