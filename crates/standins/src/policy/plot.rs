//! Plot of paid attainment over time.

use std::path::Path;

use plotters::prelude::*;

use super::summary::Summary;

/// Size of the plot.
const SIZE_PX: (u32, u32) = (960, 480);

/// Draws paid attainment by second of the first seed, one line for each variant.
///
/// No font is built in, so the plot has no text: the first variant is red, the second blue, the
/// others grey; there is a grid line at each tenth of attainment.
pub(super) fn draw(path: &Path, summaries: &[Summary]) -> Result<(), String> {
    let area = BitMapBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|e| e.to_string())?;
    let seconds = summaries
        .iter()
        .map(|summary| summary.runs[0].paid_by_second.len())
        .max();
    let last_s = u32::try_from(seconds.unwrap_or(0)).unwrap_or(0);
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .build_cartesian_2d(0..last_s, 0.0..1.0)
        .map_err(|e| e.to_string())?;
    for tenth in 0..=10 {
        let height = f64::from(tenth) / 10.0;
        let line = LineSeries::new([(0, height), (last_s, height)], BLACK.mix(0.15));
        chart.draw_series(line).map_err(|e| e.to_string())?;
    }
    let colours = [RED, BLUE]
        .into_iter()
        .chain(std::iter::repeat(RGBColor(160, 160, 160)));
    for (summary, colour) in summaries.iter().zip(colours) {
        let points = (0..).zip(summary.runs[0].paid_by_second.iter().copied());
        let line = LineSeries::new(points, colour.stroke_width(2));
        chart.draw_series(line).map_err(|e| e.to_string())?;
    }
    area.present().map_err(|e| e.to_string())
}
