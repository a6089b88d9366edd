//! Draws latency and coverage over time as SVG.

use std::{path::Path, time::Duration};

use eyre::eyre;
use plotters::coord::Shift;
use plotters::prelude::{
    BLUE, ChartBuilder, DrawingArea, IntoDrawingArea, IntoFont, LineSeries, RED, SVGBackend, WHITE,
};

use crate::{evaluation, load::CallResult};

const SIZE: (u32, u32) = (900, 480);
const BUCKET: Duration = Duration::from_millis(250);

struct Point {
    at_s: f64,
    p99_ms: f64,
    coverage: f64,
}

/// Draws the p99 latency and the mean coverage of the measured calls for each
/// time bucket.
pub fn draw_plot(
    path: &Path,
    title: &str,
    results: &[CallResult],
    settle: Duration,
) -> eyre::Result<()> {
    let points = points(results, settle);
    let last = points.last().map_or(1.0, |it| it.at_s);
    let top = points.iter().map(|it| it.p99_ms).fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|err| eyre!("{err}"))?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    let latency = points.iter().map(|it| (it.at_s, it.p99_ms)).collect();
    let coverage = points.iter().map(|it| (it.at_s, it.coverage)).collect();
    chart(&upper, &format!("{title}: p99, ms"), last, top, latency, &BLUE)?;
    chart(&lower, "coverage, mean", last, 1.05, coverage, &RED)?;
    root.present().map_err(|err| eyre!("{err}"))
}

fn chart(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    caption: &str,
    last: f64,
    top: f64,
    series: Vec<(f64, f64)>,
    color: &plotters::style::RGBColor,
) -> eyre::Result<()> {
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16).into_font())
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..last, 0.0..top)
        .map_err(|err| eyre!("{err}"))?;
    chart.configure_mesh().x_desc("s").draw().map_err(|err| eyre!("{err}"))?;
    chart.draw_series(LineSeries::new(series, color)).map_err(|err| eyre!("{err}"))?;
    Ok(())
}

fn points(results: &[CallResult], settle: Duration) -> Vec<Point> {
    let measured = results.iter().filter(|it| it.call.at >= settle);
    let mut buckets: Vec<Vec<&CallResult>> = Vec::new();
    for result in measured {
        let number = ((result.call.at - settle).as_millis() / BUCKET.as_millis()) as usize;
        if buckets.len() <= number {
            buckets.resize_with(number + 1, Vec::new);
        }
        buckets[number].push(result);
    }
    let point = |(number, bucket): (usize, &Vec<&CallResult>)| {
        let call_stats = evaluation::call_stats(bucket);
        let at_s = number as f64 * BUCKET.as_secs_f64();
        Point { at_s, p99_ms: call_stats.p99_ms, coverage: call_stats.coverage_mean }
    };
    buckets.iter().enumerate().map(point).collect()
}
