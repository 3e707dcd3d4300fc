//! SVG plots of the burn rates of one service level.

use plotters::{
    backend::SVGBackend,
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    element::PathElement,
    series::LineSeries,
    style::{Color, RGBColor, ShapeStyle, WHITE},
};

use crate::report::{burn_counts::SERIES_STEP, burn_report::BurnRow, level::Level};

/// Colours of the lines as red, green and blue; a plot with more lines starts over at the first.
pub(crate) const PALETTE: [(u8, u8, u8); 10] = [
    (31, 119, 180),
    (255, 127, 14),
    (44, 160, 44),
    (214, 39, 40),
    (148, 103, 189),
    (140, 86, 75),
    (227, 119, 194),
    (96, 96, 96),
    (188, 189, 34),
    (23, 190, 207),
];

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 260);
/// Minimum upper end of the burn axis, so that small variations do not fill the plot.
const MIN_AXIS_MAX: f64 = 2.0;

/// Returns an SVG plot with one line for each row, or the error text of the drawing library.
pub(crate) fn draw(level: Level, rows: &[&BurnRow]) -> Result<String, String> {
    let mut svg = String::new();
    draw_into(&mut svg, level, rows).map_err(|err| err.to_string())?;
    Ok(svg)
}

fn draw_into(
    svg: &mut String,
    level: Level,
    rows: &[&BurnRow],
) -> Result<(), Box<dyn std::error::Error>> {
    let n_points = rows.iter().map(|it| it.series.len()).max().unwrap_or(0);
    let x_min = -hours(n_points);
    let limit = if level == Level::EqualWait { rows[0].target } else { 1.0 };
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(52)
        .build_cartesian_2d(x_min..0.0, 0.0..axis_max(rows))?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("hours from now")
        .x_label_formatter(&|it| format!("{it:.0}"))
        .y_label_formatter(&|it| format!("{it:.1}"))
        .light_line_style(WHITE)
        .draw()?;
    let limit_style = ShapeStyle::from(RGBColor(120, 120, 120)).stroke_width(1);
    let limit_line = PathElement::new(vec![(x_min, limit), (0.0, limit)], limit_style);
    chart.draw_series([limit_line])?;
    for (idx, row) in rows.iter().enumerate() {
        let (red, green, blue) = PALETTE[idx % PALETTE.len()];
        let style = RGBColor(red, green, blue).stroke_width(2);
        for segment in line_segments(row) {
            chart.draw_series(LineSeries::new(segment, style).point_size(2))?;
        }
    }
    area.present()?;
    drop(chart);
    Ok(())
}

/// Returns the points of one row as continuous line segments; a step without requests ends a
/// segment.
fn line_segments(row: &BurnRow) -> Vec<Vec<(f64, f64)>> {
    let n_points = row.series.len();
    let mut segments = vec![Vec::new()];
    for (idx, burn) in row.series.iter().enumerate() {
        match burn {
            Some(burn) => segments.last_mut().unwrap().push((-hours(n_points - 1 - idx), *burn)),
            None => segments.push(Vec::new()),
        }
    }
    segments.retain(|it| !it.is_empty());
    segments
}

/// Returns the upper end of the burn axis: 10 % above the highest point.
fn axis_max(rows: &[&BurnRow]) -> f64 {
    let highest = rows.iter().flat_map(|it| &it.series).flatten().fold(0.0, |a, b| b.max(a));
    (highest * 1.1).max(MIN_AXIS_MAX)
}

/// Returns the duration of `n_points` steps of a series in hours.
fn hours(n_points: usize) -> f64 {
    n_points as f64 * SERIES_STEP.as_secs_f64() / 3600.0
}
