//! The name of one incarnation of a backend server.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::{
    NameError,
    check_name, //
};

/// Separates the name from the start. It is not allowed in names, so the text form is unambiguous.
const START_SEPARATOR: char = '@';

/// The name of one incarnation of a backend server, which changes with every restart.
///
/// Some backend servers keep their name over a restart and state when they started. Their
/// incarnations differ only in the start, and calls, which carry only the name, can't tell them apart.
/// A clock may be stepped back between two starts, so starts are compared for equality only.
///
/// The text form is `NAME`, or `NAME@START` if the start is known.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BackendId(String);

impl BackendId {
    /// Creates the identifier of the incarnation that has a name and stated a start, in Unix
    /// milliseconds.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if the name is not a valid one.
    pub fn new(name: &str, start_ms: Option<u64>) -> Result<Self, NameError> {
        check_name(name)?;
        Ok(Self(match start_ms {
            Some(start_ms) => format!("{name}{START_SEPARATOR}{start_ms}"),
            None => name.to_owned(),
        }))
    }

    /// Parses the text form.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if the name is not a valid one or the start is not a number in its
    /// shortest form.
    pub fn parse(text: &str) -> Result<Self, NameError> {
        let id = match text.split_once(START_SEPARATOR) {
            Some((name, start)) => Self::new(name, start.parse().ok())?,
            None => Self::new(text, None)?,
        };
        match id.0 == text {
            true => Ok(id),
            false => Err(NameError::BadCharacter {
                character: START_SEPARATOR,
            }),
        }
    }

    /// Returns the text form.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the name, which calls to the backend server carry.
    pub fn name(&self) -> &str {
        let name = self.0.split(START_SEPARATOR).next();
        name.unwrap_or(&self.0)
    }

    /// Returns the start that the incarnation stated, in Unix milliseconds.
    pub fn start_ms(&self) -> Option<u64> {
        let (_, start) = self.0.split_once(START_SEPARATOR)?;
        start.parse().ok()
    }

    /// Returns whether calls can't tell the two apart, because they have the same name.
    pub fn shares_name(&self, other: &Self) -> bool {
        self.name() == other.name()
    }
}

impl TryFrom<String> for BackendId {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::parse(&text)
    }
}

impl From<BackendId> for String {
    fn from(id: BackendId) -> Self {
        id.0
    }
}

impl fmt::Display for BackendId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
