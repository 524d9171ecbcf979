//! 128-bit hash types with a hexadecimal text form.

/// Defines a 128-bit hash type and the parse error for its hexadecimal text form.
macro_rules! hash_type {
    ($(#[$doc:meta])* $name:ident, $error:ident, $message:literal) => {
        $(#[$doc])*
        #[derive(
            Debug,
            Clone,
            Copy,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            derive_more::Display,
            serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(into = "String", try_from = "String")]
        #[display("{_0:032x}")]
        pub struct $name(u128);

        #[doc = concat!("Error for a string that is not a valid [`", stringify!($name), "`].")]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
        #[display($message)]
        pub struct $error;

        impl std::str::FromStr for $name {
            type Err = $error;

            fn from_str(text: &str) -> Result<Self, $error> {
                let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
                if !is_hex {
                    return Err($error);
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| $error)
            }
        }

        impl TryFrom<String> for $name {
            type Error = $error;

            fn try_from(text: String) -> Result<Self, $error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(hash: $name) -> Self {
                hash.to_string()
            }
        }
    };
}

pub(crate) use hash_type;
