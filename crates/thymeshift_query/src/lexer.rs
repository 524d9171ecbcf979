//! Lexer of command lines.

use crate::ParseError;

/// Maximum length of a command line, in bytes.
const LINE_BYTES_MAX: usize = 4_096;

/// Token of a command line, with its position in the line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    pub(crate) text: String,
    /// Position of the first character, counted from 1.
    pub(crate) column: usize,
    /// Whether the token was quoted; a quoted token is a value and never a keyword.
    pub(crate) is_quoted: bool,
}

/// Splits a command line into tokens.
///
/// Tokens are quoted strings, comparison operators, commas, parentheses, and words between them or
/// between white space.
pub(crate) fn tokenize(line: &str) -> Result<Vec<Token>, ParseError> {
    if line.len() > LINE_BYTES_MAX {
        let found = format!("{} bytes", line.len());
        return Err(ParseError::new(1, &found, format!("at most {LINE_BYTES_MAX} bytes")));
    }
    let characters: Vec<char> = line.chars().collect();
    let mut tokens = Vec::new();
    let mut position = 0;
    while let Some(&character) = characters.get(position) {
        if character.is_whitespace() {
            position += 1;
            continue;
        }
        let (token, next) = match character {
            '"' | '\'' => quoted_token(&characters, position)?,
            ',' | '(' | ')' => (unquoted_token(&characters, position, position + 1), position + 1),
            '=' | '!' | '<' | '>' => operator_token(&characters, position),
            _ => word_token(&characters, position),
        };
        tokens.push(token);
        position = next;
    }
    Ok(tokens)
}

fn unquoted_token(characters: &[char], start: usize, end: usize) -> Token {
    let text = characters[start..end].iter().collect();
    Token { text, column: start + 1, is_quoted: false }
}

fn quoted_token(characters: &[char], start: usize) -> Result<(Token, usize), ParseError> {
    let quote = characters[start];
    let rest = &characters[start + 1..];
    let Some(length) = rest.iter().position(|character| *character == quote) else {
        let found: String = characters[start..].iter().collect();
        return Err(ParseError::new(start + 1, &found, format!("a closing {quote}")));
    };
    let text = rest[..length].iter().collect();
    Ok((Token { text, column: start + 1, is_quoted: true }, start + length + 2))
}

fn operator_token(characters: &[char], start: usize) -> (Token, usize) {
    let has_equals = characters.get(start + 1) == Some(&'=');
    let end = if has_equals { start + 2 } else { start + 1 };
    (unquoted_token(characters, start, end), end)
}

fn word_token(characters: &[char], start: usize) -> (Token, usize) {
    let is_word_character = |character: &char| {
        !character.is_whitespace()
            && !matches!(character, '"' | '\'' | ',' | '(' | ')' | '=' | '!' | '<' | '>')
    };
    let length =
        characters[start..].iter().take_while(|character| is_word_character(character)).count();
    (unquoted_token(characters, start, start + length), start + length)
}
