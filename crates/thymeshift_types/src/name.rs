//! Immutable, reference-counted names.
//!
//! Each kind of name is a type of its own, so that the compiler rejects a service name where a
//! target name is expected. Cloning a name copies a pointer.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a name, in bytes.
pub(crate) const NAME_BYTES_MAX: usize = 63;

/// Error for a string that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The string is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The string is longer than 63 bytes.
    #[display("a name has at most {NAME_BYTES_MAX} characters, this one has {length}")]
    TooLong {
        /// Length of the rejected string, in bytes.
        length: usize,
    },
    /// The string contains a character that names must not contain.
    #[display("a name holds only a-z, 0-9, '-', '_' and '.', not '{character}'")]
    BadCharacter {
        /// First invalid character of the string.
        character: char,
    },
}

fn validate(text: &str, is_allowed: fn(char) -> bool) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    let length = text.len();
    if length > NAME_BYTES_MAX {
        return Err(NameError::TooLong { length });
    }
    match text.chars().find(|&c| !is_allowed(c)) {
        Some(character) => Err(NameError::BadCharacter { character }),
        None => Ok(()),
    }
}

fn is_name_character(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.')
}

fn is_header_character(c: char) -> bool {
    c.is_ascii_graphic() && !matches!(c, '"' | '\'' | '\\' | ',')
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $is_allowed:path) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and returns it as a name.
            pub fn new(text: &str) -> Result<Self, NameError> {
                validate(text, $is_allowed)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a service: a group of interchangeable targets.
    ServiceName, is_name_character
}
name_type! {
    /// Name of a target: one backend server of a service.
    TargetName, is_name_character
}
name_type! {
    /// Name of a request kind: requests with the same priority, deadline and retry policy.
    KindName, is_name_character
}
name_type! {
    /// Name of a VM that runs an entry process.
    VmName, is_name_character
}
name_type! {
    /// Name of a data hall.
    DataHallName, is_name_character
}
name_type! {
    /// Name of an organisation: a customer with its own API keys and request quota. It is sent to targets
    /// as it is, so it may hold any visible ASCII character but quotes, backslashes and commas.
    OrganisationName, is_header_character
}
