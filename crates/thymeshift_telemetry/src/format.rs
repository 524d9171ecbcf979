//! Log line format: one line of key=value pairs per event.

use std::fmt::Write;

use chrono::DateTime;
use chrono::Utc;
use spdlog::Record;
use spdlog::StringBuf;
use spdlog::formatter::Formatter;
use spdlog::formatter::FormatterContext;

/// Formats a log record as `time=… level=… event=… key=value …`.
///
/// Values with other than printable ASCII characters are quoted and escaped.
/// So are values with spaces, quotes, `=` or backslashes.
/// A value from a caller can therefore neither end the line nor add a key=value pair.
#[derive(Debug, Clone, Copy, Default)]
pub struct KeyValueFormatter;

impl Formatter for KeyValueFormatter {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _context: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        write_line(record, dest).map_err(spdlog::Error::FormatRecord)
    }
}

fn write_line(record: &Record, dest: &mut StringBuf) -> std::fmt::Result {
    let time: DateTime<Utc> = record.time().into();
    write!(dest, "time={}", time.format("%Y-%m-%dT%H:%M:%S%.6fZ"))?;
    write!(dest, " level={} event=", record.level().as_str())?;
    write_value(record.payload(), dest)?;
    for (key, value) in record.key_values() {
        write!(dest, " {}=", key.as_str())?;
        write_value(&value.to_string(), dest)?;
    }
    dest.write_char('\n')
}

fn write_value(value: &str, dest: &mut StringBuf) -> std::fmt::Result {
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(is_plain) {
        return dest.write_str(value);
    }
    dest.write_char('"')?;
    for character in value.chars() {
        match character {
            '"' => dest.write_str("\\\"")?,
            '\\' => dest.write_str("\\\\")?,
            ' ' => dest.write_char(' ')?,
            c if c.is_ascii_graphic() => dest.write_char(c)?,
            c => write!(dest, "{}", c.escape_unicode())?,
        }
    }
    dest.write_char('"')
}
