//! Hashes of 128 bits that are written as hexadecimal digits.

/// Makes a type of hash with the error for texts that are none.
macro_rules! hash_type {
    ($(#[$doc:meta])* $name:ident, $error:ident, $mistake:literal) => {
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

        #[doc = concat!("A text that is no [`", stringify!($name), "`].")]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
        #[display($mistake)]
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
