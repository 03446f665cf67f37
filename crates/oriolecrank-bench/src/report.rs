//! `bench report`: plots measurement lines on one self-contained HTML page.
//!
//! `oriolecrank-bench report FILE... > report.html` reads the lines that other measurements printed
//! and draws one plot for each measure, with the target where there is one.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::{
    BLUE, ChartBuilder, Circle, DrawingAreaErrorKind, DrawingBackend, EmptyElement,
    IntoDrawingArea as _, LineSeries, PointSeries, RED, SVGBackend, WHITE,
};
use serde::Deserialize;
use serde_json::{Map, Value};
use snafu::{ResultExt as _, Whatever};

use crate::arguments::BenchArguments;
use crate::measurement::Target;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (640, 360);

/// Ratio of the top of a plot to its largest value.
const HEADROOM: f64 = 1.1;

/// The fields of a printed [`Measurement`](crate::measurement::Measurement) that are plotted.
#[derive(Debug, Deserialize)]
struct PrintedLine {
    measure: String,
    size: Map<String, Value>,
    value: f64,
    unit: String,
    target: Option<Target>,
}

/// All lines of one measure.
#[derive(Debug, Default)]
struct MeasureSeries {
    unit: String,
    target: Option<f64>,
    /// Label and value of each line, in the order of the files.
    points: Vec<(String, f64)>,
}

/// Prints the page; returns false if a file cannot be read or a plot cannot be drawn.
pub fn run(arguments: &BenchArguments) -> bool {
    match page(arguments) {
        Ok(page) => {
            println!("{page}");
            true
        }
        Err(error) => {
            eprintln!("oriolecrank-bench report: {error}");
            false
        }
    }
}

fn page(arguments: &BenchArguments) -> Result<String, Whatever> {
    let mut series = BTreeMap::new();
    for file in &arguments.files {
        read_lines(Path::new(file), &mut series)?;
    }
    let mut body = String::new();
    for (name, measure) in &series {
        body.push_str(&section(name, measure)?);
    }
    Ok(format!(
        "<!doctype html>\n<meta charset=\"utf-8\">\n<title>oriolecrank measurements</title>\n\
         <h1>oriolecrank measurements</h1>\n{body}"
    ))
}

/// Adds the measurement lines of a file; skips other lines, such as those of single policies.
fn read_lines(path: &Path, series: &mut BTreeMap<String, MeasureSeries>) -> Result<(), Whatever> {
    let text = std::fs::read_to_string(path)
        .with_whatever_context(|error| format!("cannot read {}: {error}", path.display()))?;
    for line in text.lines() {
        let Ok(line) = serde_json::from_str::<PrintedLine>(line) else {
            continue;
        };
        let measure = series.entry(line.measure).or_default();
        measure.unit = line.unit;
        measure.target = line.target.map(Target::bound);
        measure.points.push((size_label(&line.size), line.value));
    }
    Ok(())
}

fn size_label(size: &Map<String, Value>) -> String {
    let parts = size.iter().map(|(name, value)| match value {
        Value::String(text) => format!("{name} {text}"),
        other => format!("{name} {other}"),
    });
    parts.collect::<Vec<_>>().join(", ")
}

fn section(name: &str, measure: &MeasureSeries) -> Result<String, Whatever> {
    let mut text = format!("<h2>{name} ({})</h2>\n", measure.unit);
    text.push_str(&plot(measure)?);
    text.push_str("<ol>\n");
    for (label, value) in &measure.points {
        writeln!(text, "<li>{label}: {value:.3}</li>").expect("writing to a string cannot fail");
    }
    text.push_str("</ol>\n");
    Ok(text)
}

/// Draws the values as SVG in the order of their lines, and the target as a red line.
fn plot(measure: &MeasureSeries) -> Result<String, Whatever> {
    let mut svg = String::new();
    draw(measure, &mut svg).whatever_context("cannot draw a plot")?;
    Ok(svg)
}

type DrawResult<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw<'a>(measure: &MeasureSeries, svg: &'a mut String) -> DrawResult<'a> {
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let values = measure
        .points
        .iter()
        .map(|(_, value)| *value)
        .chain(measure.target);
    let top = values.fold(f64::MIN_POSITIVE, f64::max) * HEADROOM;
    let right = measure.points.len() as f64 + 1.0;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("line")
        .y_desc(measure.unit.as_str())
        .draw()?;
    let points: Vec<_> = measure
        .points
        .iter()
        .zip(1_u32..)
        .map(|((_, value), x)| (f64::from(x), *value))
        .collect();
    chart.draw_series(LineSeries::new(points.clone(), &BLUE))?;
    chart.draw_series(PointSeries::of_element(
        points,
        3,
        &BLUE,
        &|point, radius, style| EmptyElement::at(point) + Circle::new((0, 0), radius, style),
    ))?;
    if let Some(target) = measure.target {
        chart.draw_series(LineSeries::new([(0.0, target), (right, target)], &RED))?;
    }
    area.present()
}
