//! Printing: whole pages and tables, into a terminal or a pipe that may be closed at any time.

use comfy_table::{CellAlignment, ContentArrangement, Table, presets};
use std::io::{ErrorKind, Write};

/// Why a command is over before its end.
#[derive(Debug)]
pub enum Failure {
    /// Nobody reads the output any more.
    Closed,
    /// Something went wrong, in words.
    Said(String),
}

impl From<String> for Failure {
    fn from(why: String) -> Failure {
        Failure::Said(why)
    }
}

/// Prints a text.
pub fn print(text: &str) -> Result<(), Failure> {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Err(Failure::Closed),
        Err(e) => Err(Failure::Said(format!("output: {e}"))),
        Ok(()) => Ok(()),
    }
}

/// A table without lines: its heads, and rows of as many cells. Cells that are figures stand to the right.
pub fn table(heads: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(heads);
    let figures = |n: usize| {
        let figure = |cell: &String| cell.starts_with(|c: char| c.is_ascii_digit()) || cell == "-";
        !rows.is_empty() && rows.iter().all(|row| row.get(n).is_some_and(figure))
    };
    let right: Vec<usize> = (0..heads.len()).filter(|n| figures(*n)).collect();
    table.add_rows(rows);
    for (n, column) in table.column_iter_mut().enumerate() {
        column.set_padding((0, 2));
        if right.contains(&n) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    let mut text = String::new();
    for line in table.lines() {
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
