//! SVG bar charts that compare load runs.

use std::path;

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea as _, IntoSegmentedCoord as _, Palette as _, Palette99,
    Rectangle, SVGBackend, SegmentValue, Text, WHITE,
};
use plotters::style::{Color as _, IntoFont as _};

use super::report::RunReport;

/// Width and height of the image, in pixels.
const IMAGE_SIZE_PX: (u32, u32) = (960, 640);

/// Writes an SVG with the goodput, the latencies and the role changes of each run.
///
/// # Errors
///
/// The message of the drawing backend when the file cannot be drawn or written.
pub fn write_comparison(file: &path::Path, reports: &[RunReport]) -> Result<(), String> {
    let area = SVGBackend::new(file, IMAGE_SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let panels = area.split_evenly((2, 2));
    let charts: [(&str, MetricFn); 4] = [
        ("goodput (share of requests in time)", |report| {
            report.goodput
        }),
        ("role changes", |report| {
            report.role_changes.unwrap_or(0) as f64
        }),
        ("first token, p95 (ms)", |report| report.first_token.p95_ms),
        ("between tokens, p95 (ms)", |report| {
            report.between_tokens.p95_ms
        }),
    ];
    for (panel, (title, metric)) in panels.iter().zip(charts) {
        draw_bars(panel, title, reports, metric).map_err(|error| error.to_string())?;
    }
    area.present().map_err(|error| error.to_string())
}

/// Extracts the plotted metric from a report.
type MetricFn = fn(&RunReport) -> f64;

type Panel<'a> = plotters::drawing::DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_bars(
    panel: &Panel<'_>,
    title: &str,
    reports: &[RunReport],
    metric: MetricFn,
) -> Result<(), Box<dyn std::error::Error>> {
    let max_value = reports.iter().map(metric).fold(0.0_f64, f64::max);
    let axis_max = if max_value > 0.0 {
        max_value * 1.15
    } else {
        1.0
    };
    let run_count = reports.len().max(1);
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 16).into_font())
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d((0..run_count - 1).into_segmented(), 0.0..axis_max)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(run_count)
        .x_label_formatter(&|position| match position {
            SegmentValue::CenterOf(index) => reports
                .get(*index)
                .map_or(String::new(), |report| report.name.clone()),
            _ => String::new(),
        })
        .draw()?;
    chart.draw_series(reports.iter().enumerate().map(|(index, report)| {
        let color = Palette99::pick(index);
        let lower_left = (SegmentValue::Exact(index), 0.0);
        let upper_right = (SegmentValue::Exact(index + 1), metric(report));
        let mut bar = Rectangle::new([lower_left, upper_right], color.filled());
        bar.set_margin(0, 0, 12, 12);
        bar
    }))?;
    chart.draw_series(reports.iter().enumerate().map(|(index, report)| {
        let label_position = (
            SegmentValue::CenterOf(index),
            metric(report) + axis_max * 0.05,
        );
        Text::new(
            format!("{:.3}", metric(report)),
            label_position,
            ("sans-serif", 12).into_font().color(&BLACK),
        )
    }))?;
    Ok(())
}
