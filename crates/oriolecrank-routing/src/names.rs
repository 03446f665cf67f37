//! Name types used in documents and announcements.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a service, by which routes and announcements refer to it.
    ServiceName
}
name_type! {
    /// Name of an organisation, under which its requests are counted and reported.
    OrganisationName
}
name_type! {
    /// Identity of an upstream, chosen by the upstream itself; it may stay the same across
    /// restarts.
    UpstreamName
}
name_type! {
    /// Version of the software of an upstream. Versions have no order; two of them are the same or
    /// not.
    SoftwareVersion
}
name_type! {
    /// Name of a failure domain; several domains form a region.
    DomainName
}
name_type! {
    /// Name of an entry instance; [`EntryRun`](crate::EntryRun) distinguishes its restarts.
    EntryName
}
