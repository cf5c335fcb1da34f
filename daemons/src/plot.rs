//! Draws the score losses over time as an SVG bar chart.

use std::error::Error;
use std::path::Path;

use plotters::prelude::{ChartBuilder, Color, IntoDrawingArea, RED, Rectangle, SVGBackend, WHITE};

use crate::losses::{INTERVAL_SECONDS, Losses};

/// The size of the image, in points.
const IMAGE_SIZE: (u32, u32) = (900, 420);

/// Draws the percentage of the maximum score that was lost in each interval.
pub fn draw_losses(losses: &Losses, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let end = losses.intervals.keys().copied().max().unwrap_or_default() + INTERVAL_SECONDS;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .caption("score lost, % of the maximum, by second", ("sans-serif", 16))
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0..end, 0.0..100.0)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    let bars = losses.intervals.iter().map(|(second, count)| {
        let lost = count.lost * 100.0 / count.requests.max(1.0);
        Rectangle::new([(*second, 0.0), (*second + INTERVAL_SECONDS, lost)], RED.mix(0.6).filled())
    });
    chart.draw_series(bars)?;
    root.present()?;
    Ok(())
}
