//! The printed table, with one row for each fitted line.

use super::fit;

/// One measured line.
pub struct Row {
    /// Measured role.
    pub role: &'static str,
    /// Measured quantity, with its unit.
    pub value: &'static str,
    /// Quantity on which it depends.
    pub unit: &'static str,
    /// Factor from the measured to the printed unit.
    pub scale: f64,
    /// Measured points.
    pub points: Vec<(f64, f64)>,
}

/// Prints a row as a line of a Markdown table.
pub fn print(row: &Row) {
    let points: Vec<(f64, f64)> = row.points.iter().map(|(x, y)| (*x, y * row.scale)).collect();
    let line = fit::line(&points);
    let measured: Vec<String> = points.iter().map(|(x, y)| format!("{x:.0}: {y:.3}")).collect();
    println!(
        "| {} | {} | {} | {:.4} | {:.3} | {:.3} | {} |",
        row.role,
        row.value,
        row.unit,
        line.slope,
        line.base,
        line.residual,
        measured.join(", ")
    );
}

/// Prints the table's header.
pub fn print_head() {
    println!("| role | value | for each | slope | at 0 | residual | points |");
    println!("|---|---|---|---|---|---|---|");
}
