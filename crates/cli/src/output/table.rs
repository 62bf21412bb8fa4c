//! Text tables.

use std::io;
use std::io::Write;

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Writes rows in columns that are as wide as their widest cell; the first row is the header.
pub fn write(out: &mut dyn Write, rows: &[Vec<String>]) -> io::Result<()> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|column| column_width(rows, column))
        .collect();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(cell);
            let padding = width + COLUMN_GAP - cell.chars().count();
            line.extend(std::iter::repeat_n(' ', padding));
        }
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}

/// Builds a row from string slices.
pub fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|cell| (*cell).to_owned()).collect()
}

/// Returns the width of a column in characters.
fn column_width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}
