//! Macros that declare value types and identifiers with a common set of derives.

/// Declares a struct or a field-less enum with the common derives, including `Serialize` and
/// `Deserialize`. Structs reject unknown fields; enum variants are serialized in snake case.
#[macro_export]
macro_rules! value_type {
    ($(#[$meta:meta])* pub struct $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $(#[$meta])*
        pub struct $($rest)*
    };
    ($(#[$meta:meta])* pub enum $($rest:tt)*) => {
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        $(#[$meta])*
        pub enum $($rest)*
    };
}

/// Declares a string newtype used as an identifier; it is serialized as a plain string.
#[macro_export]
macro_rules! id_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates an identifier without checking its form.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl ::std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.to_owned())
            }
        }
    };
}
