//! Plain-text tables of JSON objects: one row per object, one column per key.

use std::io::{self, Write};

use super::{Fields, fmt_inline};

/// Columns that identify a row; they are printed first, in this order.
const LEADING_KEYS: [&str; 6] = ["request", "target", "host", "domain", "service", "shard"];

pub(super) struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(super) fn new(objects: &[&Fields]) -> Self {
        let mut header: Vec<String> = Vec::new();
        for key in objects.iter().flat_map(|it| it.keys()) {
            if !header.contains(key) {
                header.push(key.clone());
            }
        }
        header
            .sort_by_key(|it| LEADING_KEYS.iter().position(|key| key == it).unwrap_or(usize::MAX));
        let cell =
            |object: &Fields, key: &String| object.get(key).map_or("-".to_owned(), fmt_inline);
        let row = |object: &&Fields| header.iter().map(|key| cell(object, key)).collect();
        let rows = objects.iter().map(row).collect();
        Table { header, rows }
    }

    pub(super) fn print(&self, out: &mut impl Write, indent: usize) -> io::Result<()> {
        let widths = self.widths();
        print_row(out, &self.header, &widths, indent)?;
        self.rows.iter().try_for_each(|row| print_row(out, row, &widths, indent))
    }

    fn widths(&self) -> Vec<usize> {
        let lines = || self.rows.iter().chain([&self.header]);
        let width = |column: usize| lines().map(|it| it[column].chars().count()).max();
        (0..self.header.len()).map(|it| width(it).unwrap_or(0)).collect()
    }
}

fn print_row(
    out: &mut impl Write,
    cells: &[String],
    widths: &[usize],
    indent: usize,
) -> io::Result<()> {
    let mut line = format!("{:indent$}", "");
    for (cell, &width) in cells.iter().zip(widths) {
        line.push_str(&format!("{cell:<width$}  "));
    }
    writeln!(out, "{}", line.trim_end())
}
