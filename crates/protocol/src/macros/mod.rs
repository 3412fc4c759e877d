//! The derive sets that most value types of the workspace share.

/// Declares value types with the common derives: `Clone`, `Debug`, `PartialEq`, `Serialize`,
/// `Deserialize`. Unknown fields are refused when a struct is read.
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

/// Declares string newtypes used as identifiers.
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
            /// Wraps a name as an identifier.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The identifier as text.
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
