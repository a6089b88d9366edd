//! Exit codes, and JSON shown for human readers.

mod table;

use std::{
    io::{self, Write},
    process::ExitCode,
};

use serde_json::Value;

use self::table::Table;

/// Decimals of numbers with a fraction.
const DECIMALS: usize = 3;

/// How the program ends; scripts rely on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Done = 0,
    /// Findings, or a refused request that did not run.
    Refused = 1,
    Usage = 2,
    /// Nothing was sent, or a host's status was not to be had.
    Unreachable = 3,
    /// An answer without all shards.
    Partial = 4,
    /// A request without a usable answer, which may have run.
    MayHaveRun = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

pub(crate) fn print_json(out: &mut impl Write, value: &Value) -> io::Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}

/// Shows any JSON: fields as lines, lists of objects as tables.
pub(crate) fn print_value(out: &mut impl Write, value: &Value) -> io::Result<()> {
    match value {
        Value::Object(fields) => print_fields(out, fields, 0),
        Value::Array(items) => print_list(out, items, 0),
        other => writeln!(out, "{}", inline(other)),
    }
}

type Fields = serde_json::Map<String, Value>;

fn print_fields(out: &mut impl Write, fields: &Fields, indent: usize) -> io::Result<()> {
    let is_inline = |value: &Value| !is_nested(value);
    let keys = fields.iter().filter(|(_, value)| is_inline(value)).map(|(key, _)| key);
    let width = keys.map(|it| it.chars().count()).max().unwrap_or(0);
    for (key, value) in fields.iter().filter(|(_, value)| is_inline(value)) {
        writeln!(out, "{:indent$}{key:<width$}  {}", "", inline(value))?;
    }
    for (key, value) in fields.iter().filter(|(_, value)| is_nested(value)) {
        writeln!(out, "{:indent$}{key}:", "")?;
        match value {
            Value::Object(fields) => print_fields(out, fields, indent + 2)?,
            Value::Array(items) => print_list(out, items, indent + 2)?,
            _ => (),
        }
    }
    Ok(())
}

fn print_list(out: &mut impl Write, items: &[Value], indent: usize) -> io::Result<()> {
    let rows: Option<Vec<&Fields>> = items.iter().map(Value::as_object).collect();
    match rows {
        Some(rows) => Table::new(&rows).print(out, indent),
        None => items.iter().try_for_each(|it| writeln!(out, "{:indent$}{}", "", inline(it))),
    }
}

/// Whether a value needs lines of its own: an object, or a list with one.
fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => items.iter().any(|it| it.is_object() || it.is_array()),
        _ => false,
    }
}

/// A value in one line; text without quotes.
fn inline(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => printable(text),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(inline).collect::<Vec<_>>().join(", "),
        Value::Object(fields) => {
            let fields = fields.iter().map(|(key, value)| format!("{key}={}", inline(value)));
            fields.collect::<Vec<_>>().join(" ")
        }
        Value::Number(number) => match number.as_f64() {
            Some(value) if number.is_f64() => format!("{value:.DECIMALS$}"),
            _ => number.to_string(),
        },
        Value::Bool(it) => it.to_string(),
    }
}

/// Text without control characters, which could rewrite the terminal.
pub(crate) fn printable(text: &str) -> String {
    text.chars().map(|it| if it.is_control() { '\u{fffd}' } else { it }).collect()
}
