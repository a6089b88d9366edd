//! Exit codes, and JSON values printed as JSON or as plain text.

mod table;

use std::{
    io::{self, Write},
    process::ExitCode,
};

use serde_json::Value;

use self::table::Table;

/// Digits printed after the decimal point of floating-point numbers.
const FRACTION_DIGITS: usize = 3;

/// Exit code of the program; scripts rely on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Success = 0,
    /// Findings, a refused request that did not run, or a request id that is in no
    /// log line.
    Refused = 1,
    /// Wrong usage, or a local error such as an unreadable file.
    Usage = 2,
    /// No connection to the host, or a failed request to its administration API.
    Unreachable = 3,
    /// An answer without all shards.
    Partial = 4,
    /// No usable answer to a request that may have run.
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

/// Prints any JSON value as plain text: one line per field, lists of objects as
/// tables.
pub(crate) fn print_value(out: &mut impl Write, value: &Value) -> io::Result<()> {
    match value {
        Value::Object(fields) => print_fields(out, fields, 0),
        Value::Array(items) => print_list(out, items, 0),
        other => writeln!(out, "{}", fmt_inline(other)),
    }
}

type Fields = serde_json::Map<String, Value>;

fn print_fields(out: &mut impl Write, fields: &Fields, indent: usize) -> io::Result<()> {
    let is_inline = |value: &Value| !is_nested(value);
    let keys = fields.iter().filter(|(_, value)| is_inline(value)).map(|(key, _)| key);
    let width = keys.map(|it| it.chars().count()).max().unwrap_or(0);
    for (key, value) in fields.iter().filter(|(_, value)| is_inline(value)) {
        writeln!(out, "{:indent$}{key:<width$}  {}", "", fmt_inline(value))?;
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
        None => items.iter().try_for_each(|it| writeln!(out, "{:indent$}{}", "", fmt_inline(it))),
    }
}

/// Returns whether a value takes lines of its own: a non-empty object, or a list
/// that contains an object or a list.
fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => items.iter().any(|it| it.is_object() || it.is_array()),
        _ => false,
    }
}

/// Formats a value on one line, strings without quotes.
fn fmt_inline(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => replace_control_chars(text),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(fmt_inline).collect::<Vec<_>>().join(", "),
        Value::Object(fields) => {
            let fields = fields.iter().map(|(key, value)| format!("{key}={}", fmt_inline(value)));
            fields.collect::<Vec<_>>().join(" ")
        }
        Value::Number(number) => match number.as_f64() {
            Some(value) if number.is_f64() => format!("{value:.FRACTION_DIGITS$}"),
            _ => number.to_string(),
        },
        Value::Bool(it) => it.to_string(),
    }
}

/// Replaces control characters, because escape sequences in the text could alter
/// the terminal.
pub(crate) fn replace_control_chars(text: &str) -> String {
    text.chars().map(|it| if it.is_control() { '\u{fffd}' } else { it }).collect()
}
