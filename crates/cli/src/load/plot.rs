//! Plots that compare runs.

use std::path;

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea as _, IntoSegmentedCoord as _, Palette as _, Palette99,
    Rectangle, SVGBackend, SegmentValue, Text, WHITE,
};
use plotters::style::{Color as _, IntoFont as _};

use super::report::LoadReport;

/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (960, 640);

/// Writes an SVG with the goodput, the latencies and the role changes of each run.
///
/// # Errors
///
/// A message when the file cannot be written.
pub fn write_comparison(file: &path::Path, reports: &[LoadReport]) -> Result<(), String> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let panels = area.split_evenly((2, 2));
    let charts: [(&str, ReportFigure); 4] = [
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
    for (panel, (title, value)) in panels.iter().zip(charts) {
        draw_bars(panel, title, reports, value).map_err(|error| error.to_string())?;
    }
    area.present().map_err(|error| error.to_string())
}

/// A figure of a report.
type ReportFigure = fn(&LoadReport) -> f64;

type Panel<'a> = plotters::drawing::DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_bars(
    panel: &Panel<'_>,
    title: &str,
    reports: &[LoadReport],
    value: ReportFigure,
) -> Result<(), Box<dyn std::error::Error>> {
    let most = reports.iter().map(value).fold(0.0_f64, f64::max);
    let top = if most > 0.0 { most * 1.15 } else { 1.0 };
    let runs = reports.len().max(1);
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 16).into_font())
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d((0..runs - 1).into_segmented(), 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(runs)
        .x_label_formatter(&|position| match position {
            SegmentValue::CenterOf(index) => reports
                .get(*index)
                .map_or(String::new(), |report| report.name.clone()),
            _ => String::new(),
        })
        .draw()?;
    chart.draw_series(reports.iter().enumerate().map(|(index, report)| {
        let color = Palette99::pick(index);
        let left = (SegmentValue::Exact(index), 0.0);
        let right = (SegmentValue::Exact(index + 1), value(report));
        let mut bar = Rectangle::new([left, right], color.filled());
        bar.set_margin(0, 0, 12, 12);
        bar
    }))?;
    chart.draw_series(reports.iter().enumerate().map(|(index, report)| {
        let place = (SegmentValue::CenterOf(index), value(report) + top * 0.05);
        Text::new(
            format!("{:.3}", value(report)),
            place,
            ("sans-serif", 12).into_font().color(&BLACK),
        )
    }))?;
    Ok(())
}
