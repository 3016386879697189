//! Identifiers: validated names, and numbers.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// An error that makes a text invalid as a name.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    #[snafu(display("a name must not be empty"))]
    EmptyName,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("a name has at most {MAX_NAME_BYTES} bytes, this one has {bytes}"))]
    LongName {
        /// The length of the name in bytes.
        bytes: usize,
    },
    /// The name contains a character other than ASCII letters, digits, `-`, `_`, `.` and `:`.
    #[snafu(display(
        "a name may contain only letters, digits, '-', '_', '.' and ':', not {character:?}"
    ))]
    BadCharacter {
        /// The first character that is not allowed.
        character: char,
    },
}

/// Checks the length and the characters of a name.
pub(crate) fn check_name(text: &str) -> Result<(), NameError> {
    let allowed = |c: &char| c.is_ascii_alphanumeric() || "-_.:".contains(*c);
    match text.chars().find(|c| !allowed(c)) {
        _ if text.is_empty() => EmptyNameSnafu.fail(),
        _ if text.len() > MAX_NAME_BYTES => LongNameSnafu { bytes: text.len() }.fail(),
        Some(character) => BadCharacterSnafu { character }.fail(),
        None => Ok(()),
    }
}

/// Defines a newtype of a validated name.
macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Parses a name from a text.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if the text is empty, too long or contains a character that
            /// is not allowed.
            pub fn parse(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_name!(
    /// The name of a customer.
    CustomerName
);
text_name!(
    /// The name of a job class within a customer's template.
    ClassName
);
text_name!(
    /// The name of a worker, which is an instance that runs a backend server.
    WorkerName
);
text_name!(
    /// The name of a rack.
    RackName
);
text_name!(
    /// The name of a failure domain.
    DomainName
);
text_name!(
    /// The idempotency key that a caller assigns to a request, scoped to its customer.
    RequestKey
);

text_name!(
    /// The name of a service, which is a kind of backend server.
    ServiceName
);
text_name!(
    /// The name of an instance that runs a backend server and its agent.
    InstanceName
);

/// Defines a newtype of a numeric identifier.
macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_id!(
    /// The number of a job, assigned when it is accepted and never reused.
    JobId
);
number_id!(
    /// The number of an attempt, which is one placement of a job.
    AttemptNumber
);
number_id!(
    /// A random number that identifies one incarnation of an agent, drawn at each start.
    IncarnationId
);
number_id!(
    /// The revision of the configuration, which only increases.
    ConfigRevision
);

/// The identifier of a task, which is one member of a job's gang in one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The attempt of the job.
    pub attempt: AttemptNumber,
    /// The index of the task in its gang, from zero.
    pub member: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.attempt, self.member)
    }
}

/// The error for a text that is not a task identifier.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("a task identifier has the form JOB.ATTEMPT.MEMBER"))]
pub struct TaskIdError;

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, TaskIdError> {
        let mut parts = text.split('.').map(str::parse::<u64>);
        match (parts.next(), parts.next(), parts.next(), parts.next()) {
            (Some(Ok(job)), Some(Ok(attempt)), Some(Ok(member)), None) => Ok(Self {
                job: JobId(job),
                attempt: AttemptNumber(attempt),
                member: u16::try_from(member).map_err(|_| TaskIdError)?,
            }),
            _ => Err(TaskIdError),
        }
    }
}
