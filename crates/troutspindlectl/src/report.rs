//! Formats the results of a replay as text and as one HTML page with embedded plots.

use crate::constants::*;
use crate::replay::{EarlyEstimates, Figures};
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::prelude::*;
use std::fmt::Write;

/// Returns `part / whole`, or 0 if `whole` is 0.
fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

fn percent(part: u64, whole: u64) -> String {
    if whole == 0 { "-".into() } else { format!("{:.1}%", share(part, whole) * 100.0) }
}

/// Returns the table rows of the estimates at submission, one per grade.
fn grade_rows(figures: &Figures) -> Vec<[String; 7]> {
    let rows = figures.grades.iter().map(|(name, grade)| {
        [
            name.clone(),
            grade.jobs.to_string(),
            percent(grade.within_interval, grade.jobs),
            percent(grade.accurate, grade.jobs),
            percent(grade.owner_accurate, grade.jobs),
            percent(grade.mean_accurate, grade.jobs),
            format!("{:.0}% / {:.0}%", grade.error_percent[0], grade.error_percent[1]),
        ]
    });
    rows.collect()
}

const GRADE_HEADER: [&str; 7] = [
    "grade",
    "jobs",
    "in the 80% interval",
    "within 25%",
    "owner's",
    "running mean's",
    "off, half / nine in ten below",
];

/// Returns the table rows of the estimates made after a tenth of the tasks.
fn early_rows(figures: &Figures) -> Vec<[String; 5]> {
    let row = |name: &str, early: &EarlyEstimates| {
        [
            name.to_owned(),
            early.jobs.to_string(),
            percent(early.work_accurate, early.jobs),
            percent(early.end_accurate, early.jobs),
            percent(early.remaining_accurate, early.jobs),
        ]
    };
    vec![
        row("doubled, 30 tasks and more", &figures.doubled),
        row("others, 30 tasks and more", &figures.plain),
        row("doubled, fewer tasks", &figures.doubled_small),
        row("others, fewer tasks", &figures.plain_small),
    ]
}

const EARLY_HEADER: [&str; 5] =
    ["a tenth ended", "jobs", "work left within 25%", "end within 25%", "time left within 25%"];

/// Returns the summary of jobs, histories and warnings.
fn summary_sentences(figures: &Figures) -> Vec<String> {
    let warnings = &figures.warnings;
    vec![
        format!(
            "{} jobs, {} of them cancelled, {} observations; {} histories at the end.",
            figures.jobs, figures.cancelled, figures.observations, figures.histories
        ),
        format!(
            "Of {} jobs of whose class nothing had ended, {} were called unknown.",
            figures.without_history, figures.without_history_unknown
        ),
        format!(
            "{} jobs had a due time, {} were late: {} of these were warned of before, {} by half of their run. \
             Of {} late by more than a quarter {} by half. Of {} warnings {} were wrong.",
            warnings.with_due,
            warnings.late,
            percent(warnings.late_warned, warnings.late),
            percent(warnings.late_warned_by_half, warnings.late),
            warnings.much_late,
            percent(warnings.much_late_warned_by_half, warnings.much_late),
            warnings.late_warned + warnings.false_alarms,
            percent(warnings.false_alarms, warnings.late_warned + warnings.false_alarms)
        ),
    ]
}

/// Appends a table with aligned columns.
fn table<const N: usize>(text: &mut String, head: [&str; N], rows: &[[String; N]]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([head[column].len()]).max().unwrap_or(0)
    };
    let mut line = |cells: [&str; N]| {
        for (column, cell) in cells.iter().enumerate() {
            let _ = write!(text, "{cell:<width$}  ", width = width(column));
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    };
    line(head);
    rows.iter().for_each(|row| line(row.each_ref().map(String::as_str)));
    text.push('\n');
}

/// Formats the results as text.
pub fn text(figures: &Figures) -> String {
    let mut text = String::new();
    for sentence in summary_sentences(figures) {
        let _ = writeln!(text, "{sentence}");
    }
    text.push('\n');
    table(&mut text, GRADE_HEADER, &grade_rows(figures));
    table(&mut text, EARLY_HEADER, &early_rows(figures));
    text.truncate(text.trim_end().len());
    text.push('\n');
    text
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Returns one plot as SVG, or a message if drawing fails.
fn plot(
    draw: impl Fn(&DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> DrawResult,
) -> Markup {
    let mut svg = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        draw(&area).and_then(|()| area.present().map_err(Into::into))
    };
    match drawn {
        Ok(()) => PreEscaped(svg),
        Err(error) => html! { p { "This plot could not be drawn: " (error) } },
    }
}

/// Plots the share of outcomes below each quantile of the estimates' distribution.
fn calibration(figures: &Figures) -> Markup {
    plot(|area| {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..1.0f64, 0.0..1.0f64)?;
        chart.configure_mesh().x_desc("said").y_desc("came").draw()?;
        chart.draw_series(LineSeries::new([(0.0, 0.0), (1.0, 1.0)], BLACK.mix(0.3)))?;
        let colours = [&BLUE, &RED, &GREEN];
        for ((name, grade), colour) in figures.grades.iter().zip(colours) {
            let mut sum = 0;
            let points = grade.outcomes_by_quantile.iter().enumerate().map(|(n, count)| {
                sum += count;
                ((n + 1) as f64 / 20.0, share(sum, grade.jobs))
            });
            let line = std::iter::once((0.0, 0.0)).chain(points);
            chart
                .draw_series(LineSeries::new(line, colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], *colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        Ok(())
    })
}

/// Plots the daily share of sure estimates and the daily median error of their medians.
fn days(figures: &Figures) -> Markup {
    plot(|area| {
        area.fill(&WHITE)?;
        let last = figures.days.last().map_or(1, |(day, ..)| *day).max(1);
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(46)
            .build_cartesian_2d(0u32..last, 0.0..100.0f64)?;
        chart.configure_mesh().x_desc("day").y_desc("percent").draw()?;
        let sure = figures.days.iter().map(|(day, sure, _)| (*day, sure * 100.0));
        chart
            .draw_series(LineSeries::new(sure, &BLUE))?
            .label("sure")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLUE));
        let errors = figures.days.iter().filter(|(_, sure, _)| *sure > 0.0);
        let errors = errors.map(|(day, _, error)| (*day, error.min(100.0)));
        chart
            .draw_series(LineSeries::new(errors, &RED))?
            .label("median error of sure ones")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED));
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        Ok(())
    })
}

fn html_table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> Markup {
    html! {
        table {
            tr { @for cell in head { th { (cell) } } }
            @for row in rows { tr { @for cell in row { td { (cell) } } } }
        }
    }
}

const STYLE: &str = "body{font:15px sans-serif;max-width:60em;margin:2em auto}\
    table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.3em .6em;text-align:left}";

/// Formats the results as one HTML page that loads nothing from the network. `source` is the name of the history.
pub fn page(figures: &Figures, source: &str) -> String {
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head { meta charset="utf-8"; title { "Run-time estimates, replayed" } style { (PreEscaped(STYLE)) } }
            body {
                h1 { "Run-time estimates, replayed" }
                p { "Source: " (source) ". Each estimate rests on what had ended before it." }
                @for sentence in summary_sentences(figures) { p { (sentence) } }
                h2 { "Estimates at submission" }
                (html_table(GRADE_HEADER, &grade_rows(figures)))
                h2 { "What remained after a tenth" }
                (html_table(EARLY_HEADER, &early_rows(figures)))
                h2 { "Calibration" }
                p { "Outcomes below each point of the estimates' distribution; the grey line is perfect." }
                (calibration(figures))
                h2 { "Day by day" }
                (days(figures))
            }
        }
    };
    page.into_string()
}

#[cfg(test)]
mod tests;
