//! Output of tables and JSON on standard output.

use serde::Serialize;
use serde_json::Value;
use std::io::{self, Write, stdout};

/// Prints a header row and `rows`, with each column as wide as its widest cell.
pub fn print_table<const N: usize>(titles: [&str; N], rows: &[[String; N]]) -> io::Result<()> {
    let mut widths = titles.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    let mut output = stdout().lock();
    write_row(&mut output, titles, &widths)?;
    for row in rows {
        write_row(&mut output, row.each_ref().map(String::as_str), &widths)?;
    }
    output.flush()
}

fn write_row<const N: usize>(
    output: &mut impl Write,
    cells: [&str; N],
    widths: &[usize; N],
) -> io::Result<()> {
    let cells: Vec<_> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    writeln!(output, "{}", cells.join("  ").trim_end())
}

/// Prints `value` as indented JSON.
pub fn print_json(value: &impl Serialize) -> io::Result<()> {
    let mut output = stdout().lock();
    serde_json::to_writer_pretty(&mut output, value)?;
    writeln!(output)
}

/// Text of the value at the JSON `pointer`; a dash if it is missing or null.
pub fn cell_text(value: &Value, pointer: &str) -> String {
    match value.pointer(pointer) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}
