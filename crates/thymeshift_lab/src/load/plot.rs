//! Line plots in SVG files.

use std::path::Path;

use derive_more::Display;
use derive_more::Error;
use plotters::prelude::*;

/// Data series that a plot shows as one line.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name of the series in the legend.
    pub name: String,
    /// Points of the line, as x and y values.
    pub points: Vec<(f64, f64)>,
}

/// Error of a plot that could not be drawn or written.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("drawing {path}: {reason}")]
pub struct PlotError {
    /// Path of the SVG file.
    pub path: String,
    /// Error text of the plotting library.
    pub reason: String,
}

/// Draws the series as lines with a logarithmic y axis and writes the plot to `path` as SVG.
pub fn draw(
    path: &Path,
    title: &str,
    x_label: &str,
    y_label: &str,
    lines: &[Series],
) -> Result<(), PlotError> {
    let fail = |reason: String| PlotError { path: path.display().to_string(), reason };
    try_draw(path, title, x_label, y_label, lines).map_err(fail)
}

fn try_draw(
    path: &Path,
    title: &str,
    x_label: &str,
    y_label: &str,
    lines: &[Series],
) -> Result<(), String> {
    let points = || lines.iter().flat_map(|line| line.points.iter().copied());
    let x_max = points().map(|point| point.0).fold(1.0, f64::max);
    let y_max = points().map(|point| point.1).fold(1.0, f64::max) * 1.5;
    let y_min = points().map(|point| point.1).filter(|y| *y > 0.0).fold(y_max, f64::min) / 1.5;
    let area = SVGBackend::new(path, (900, 560)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_max, (y_min..y_max).log_scale())
        .map_err(|error| error.to_string())?;
    let mesh = chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw();
    mesh.map_err(|error| error.to_string())?;
    for (index, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).stroke_width(2);
        let drawn = chart.draw_series(LineSeries::new(line.points.iter().copied(), colour));
        drawn
            .map_err(|error| error.to_string())?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    let legend = chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw();
    legend.map_err(|error| error.to_string())?;
    area.present().map_err(|error| error.to_string())
}
