//! Output of texts and tables to a terminal, or to a pipe that may be closed at any time.

use comfy_table::{CellAlignment, ContentArrangement, Table, presets};
use std::io::{ErrorKind, Write};

/// Reason for ending a command early.
#[derive(Debug)]
pub enum Failure {
    /// The reader has closed the output pipe.
    OutputClosed,
    /// An error, with its message.
    Message(String),
}

impl From<String> for Failure {
    fn from(why: String) -> Failure {
        Failure::Message(why)
    }
}

/// Writes a text to standard output.
pub fn print(text: &str) -> Result<(), Failure> {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Err(Failure::OutputClosed),
        Err(e) => Err(Failure::Message(format!("output: {e}"))),
        Ok(()) => Ok(()),
    }
}

/// Formats a table without borders, with one cell for each heading in every row. A column is aligned right if
/// each of its cells starts with a digit or is a dash.
pub fn table(headings: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(headings);
    let is_number_column = |n: usize| {
        let is_number = |cell: &String| cell.starts_with(|c: char| c.is_ascii_digit()) || cell == "-";
        !rows.is_empty() && rows.iter().all(|row| row.get(n).is_some_and(is_number))
    };
    let right_aligned: Vec<usize> = (0..headings.len()).filter(|n| is_number_column(*n)).collect();
    table.add_rows(rows);
    for (n, column) in table.column_iter_mut().enumerate() {
        column.set_padding((0, 2));
        if right_aligned.contains(&n) {
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
