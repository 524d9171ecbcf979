//! Words of a line.

use crate::ParseError;

/// Longest line, in bytes.
const LINE_BYTES_MAX: usize = 4_096;

/// A word and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    pub(crate) text: String,
    /// Counted from 1.
    pub(crate) column: usize,
    /// Whether it stood in quotes, so that it is a value and never a keyword.
    pub(crate) is_quoted: bool,
}

/// Cuts a line into words: quoted texts, operators, commas, brackets, and the rest at
/// white space.
pub(crate) fn tokenize(line: &str) -> Result<Vec<Token>, ParseError> {
    if line.len() > LINE_BYTES_MAX {
        let found = format!("{} bytes", line.len());
        return Err(ParseError::new(1, &found, format!("at most {LINE_BYTES_MAX} bytes")));
    }
    let characters: Vec<char> = line.chars().collect();
    let mut words = Vec::new();
    let mut at = 0;
    while let Some(&character) = characters.get(at) {
        if character.is_whitespace() {
            at += 1;
            continue;
        }
        let (word, next) = match character {
            '"' | '\'' => quoted(&characters, at)?,
            ',' | '(' | ')' => (plain(&characters, at, at + 1), at + 1),
            '=' | '!' | '<' | '>' => operator(&characters, at),
            _ => bare(&characters, at),
        };
        words.push(word);
        at = next;
    }
    Ok(words)
}

fn plain(characters: &[char], from: usize, to: usize) -> Token {
    let text = characters[from..to].iter().collect();
    Token { text, column: from + 1, is_quoted: false }
}

fn quoted(characters: &[char], from: usize) -> Result<(Token, usize), ParseError> {
    let quote = characters[from];
    let inside = &characters[from + 1..];
    let Some(length) = inside.iter().position(|character| *character == quote) else {
        let found: String = characters[from..].iter().collect();
        return Err(ParseError::new(from + 1, &found, format!("a closing {quote}")));
    };
    let text = inside[..length].iter().collect();
    Ok((Token { text, column: from + 1, is_quoted: true }, from + length + 2))
}

fn operator(characters: &[char], from: usize) -> (Token, usize) {
    let has_equals = characters.get(from + 1) == Some(&'=');
    let to = if has_equals { from + 2 } else { from + 1 };
    (plain(characters, from, to), to)
}

fn bare(characters: &[char], from: usize) -> (Token, usize) {
    let is_inside = |character: &char| {
        !character.is_whitespace()
            && !matches!(character, '"' | '\'' | ',' | '(' | ')' | '=' | '!' | '<' | '>')
    };
    let length = characters[from..].iter().take_while(|character| is_inside(character)).count();
    (plain(characters, from, from + length), from + length)
}
