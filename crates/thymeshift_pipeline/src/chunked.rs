//! The end of a chunked body (RFC 9112, 7.1), found in pieces of any size.
//!
//! Only a carriage return and a line feed end a line; anything that another parser may read as
//! another line end is malformed. The grammar within an extension or a trailer's value is not
//! checked, as the end of the body does not depend on it. No byte of the body is kept.

/// Maximum length in bytes of a size line or trailer line, including its line end.
const LINE_BYTES_MAX: usize = 8 * 1_024;

/// Chunked body of a request, followed up to its last byte.
#[derive(Debug)]
pub(crate) struct ChunkedBody {
    position: Position,
    /// Size of the chunk while its size line is parsed, then its bytes that have not arrived yet.
    chunk_bytes_left: u64,
    /// Length of the current line so far.
    line_bytes: usize,
}

/// Part of a chunked body that the next byte belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// First digit of a chunk size.
    SizeStart,
    /// Further digits of a chunk size.
    Size,
    /// Blanks between a chunk size and its extensions.
    BeforeExtension,
    Extension,
    SizeLineFeed,
    Data,
    DataCarriageReturn,
    DataLineFeed,
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLineFeed,
    /// Line feed of the empty line that ends the body.
    LastLineFeed,
    /// The body is complete; the next byte belongs to another request.
    End,
}

impl ChunkedBody {
    pub(crate) fn new() -> Self {
        Self { position: Position::SizeStart, chunk_bytes_left: 0, line_bytes: 0 }
    }

    /// Whether all bytes of the body have been skipped.
    pub(crate) fn is_complete(&self) -> bool {
        self.position == Position::End
    }

    /// Returns how many of the next bytes belong to the body, or `None` if the body is malformed.
    pub(crate) fn skip(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut skipped = 0;
        while skipped < bytes.len() && !self.is_complete() {
            if self.position == Position::Data {
                skipped += self.skip_data(bytes.len() - skipped);
            } else {
                self.skip_line_byte(bytes[skipped])?;
                skipped += 1;
            }
        }
        Some(skipped)
    }

    /// Skips data of the current chunk, and returns how many of `available` bytes belong to it.
    fn skip_data(&mut self, available: usize) -> usize {
        let length = usize::try_from(self.chunk_bytes_left).unwrap_or(usize::MAX).min(available);
        self.chunk_bytes_left -= length as u64;
        if self.chunk_bytes_left == 0 {
            self.position = Position::DataCarriageReturn;
        }
        length
    }

    fn skip_line_byte(&mut self, byte: u8) -> Option<()> {
        self.line_bytes += 1;
        if self.line_bytes > LINE_BYTES_MAX {
            return None;
        }
        self.position = self.next_position(byte)?;
        if byte == b'\n' {
            self.line_bytes = 0;
        }
        Some(())
    }

    fn next_position(&mut self, byte: u8) -> Option<Position> {
        match (self.position, byte) {
            (Position::SizeStart | Position::Size, _) if byte.is_ascii_hexdigit() => {
                self.chunk_bytes_left = append_digit(self.chunk_bytes_left, byte)?;
                Some(Position::Size)
            }
            (Position::Size | Position::BeforeExtension, b' ' | b'\t') => {
                Some(Position::BeforeExtension)
            }
            (Position::Size | Position::BeforeExtension, b';') => Some(Position::Extension),
            (Position::Size | Position::Extension, b'\r') => Some(Position::SizeLineFeed),
            (Position::Extension, _) if is_text(byte) => Some(Position::Extension),
            (Position::SizeLineFeed, b'\n') if self.chunk_bytes_left == 0 => {
                Some(Position::TrailerStart)
            }
            (Position::SizeLineFeed, b'\n') => Some(Position::Data),
            (Position::DataCarriageReturn, b'\r') => Some(Position::DataLineFeed),
            (Position::DataLineFeed, b'\n') => Some(Position::SizeStart),
            (Position::TrailerStart, b'\r') => Some(Position::LastLineFeed),
            (Position::TrailerStart | Position::TrailerName, _) if is_token(byte) => {
                Some(Position::TrailerName)
            }
            (Position::TrailerName, b':') => Some(Position::TrailerValue),
            (Position::TrailerValue, b'\r') => Some(Position::TrailerLineFeed),
            (Position::TrailerValue, _) if is_text(byte) => Some(Position::TrailerValue),
            (Position::TrailerLineFeed, b'\n') => Some(Position::TrailerStart),
            (Position::LastLineFeed, b'\n') => Some(Position::End),
            _ => None,
        }
    }
}

/// Appends a hexadecimal digit to a chunk size; returns `None` if the size is too large.
fn append_digit(size: u64, digit: u8) -> Option<u64> {
    let value = char::from(digit).to_digit(16)?;
    size.checked_mul(16)?.checked_add(u64::from(value))
}

/// Whether a byte may occur in an extension or in the value of a trailer field.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Whether a byte may occur in the name of a trailer field.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
