//! Macros for common sets of derives.
//!
//! `value!` is for plain data, `key!` for small `Copy` types and `name!` for
//! strings that identify a resource or a VM.

/// Declares plain data types that are read and written as JSON.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
            #[serde(deny_unknown_fields)]
            $item
        )*
    };
}

/// Declares small `Copy` types, such as keys and states.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )*
    };
}

/// Declares string types for names that are cheap to clone.
#[macro_export]
macro_rules! name {
    ($($(#[$meta:meta])* $visibility:vis struct $type:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                derive_more::Display, serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            $visibility struct $type(std::sync::Arc<str>);

            impl $type {
                /// Returns the name as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $type {
                fn from(text: &str) -> Self {
                    Self(text.into())
                }
            }

            impl From<String> for $type {
                fn from(text: String) -> Self {
                    Self(text.into())
                }
            }
        )*
    };
}
