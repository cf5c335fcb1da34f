//! The losses of a day as a picture, in SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::{ChartBuilder, Color, IntoDrawingArea, RED, Rectangle, SVGBackend, WHITE};

use crate::losses::{Losses, SECONDS_A_ROW};

/// The size of the picture, in points.
const SIZE: (u32, u32) = (900, 420);

/// Draws the share of the worth that was lost at each moment.
pub fn draw(losses: &Losses, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let last = losses.moments.keys().copied().max().unwrap_or_default() + SECONDS_A_ROW;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .caption("lost, % of the worth asked for, by second", ("sans-serif", 16))
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0..last, 0.0..100.0)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    let bars = losses.moments.iter().map(|(second, count)| {
        let lost = count.lost * 100.0 / count.requests.max(1.0);
        Rectangle::new([(*second, 0.0), (*second + SECONDS_A_ROW, lost)], RED.mix(0.6).filled())
    });
    chart.draw_series(bars)?;
    root.present()?;
    Ok(())
}
