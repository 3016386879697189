//! Names and numbers that identify things.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// The longest name that is accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name that can't be accepted.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    #[snafu(display("a name must not be empty"))]
    EmptyName,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("a name has at most {MAX_NAME_BYTES} bytes, this one has {bytes}"))]
    LongName {
        /// The length that was found.
        bytes: usize,
    },
    /// The name holds a character outside letters, digits, `-`, `_`, `.` and `:`.
    #[snafu(display("a name holds letters, digits, '-', '_', '.' and ':', not {character:?}"))]
    BadCharacter {
        /// The first character that was refused.
        character: char,
    },
}

fn check_name(text: &str) -> Result<(), NameError> {
    let allowed = |c: &char| c.is_ascii_alphanumeric() || "-_.:".contains(*c);
    match text.chars().find(|c| !allowed(c)) {
        _ if text.is_empty() => EmptyNameSnafu.fail(),
        _ if text.len() > MAX_NAME_BYTES => LongNameSnafu { bytes: text.len() }.fail(),
        Some(character) => BadCharacterSnafu { character }.fail(),
        None => Ok(()),
    }
}

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Checks a text and makes a name of it.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] for an empty or long text or a character that is not allowed.
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
    /// The name of a worker, which is the instance that a backend server runs on.
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
    /// The idempotency key that a caller gives to a request, scoped to its customer.
    RequestKey
);

text_name!(
    /// The name of one life of a backend server; a restarted one has another.
    BackendId
);
text_name!(
    /// The name of a kind of backend server.
    ServiceName
);
text_name!(
    /// The name of an instance that a backend server and its agent run on.
    InstanceName
);

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
    /// The number of a job, given when it is accepted and never used again.
    JobId
);
number_id!(
    /// The number of a placement of a job; each attempt has new places.
    AttemptNumber
);
number_id!(
    /// A random number that an agent draws at each start.
    IncarnationId
);
number_id!(
    /// The revision of the configuration; it only grows.
    ConfigRevision
);

/// One member of one attempt of a job's gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskId {
    /// The job that the task is part of.
    pub job: JobId,
    /// The attempt of the job.
    pub attempt: AttemptNumber,
    /// The place of the task in its gang, from zero.
    pub member: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.attempt, self.member)
    }
}

/// A text that names no task.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("a task is named as JOB.ATTEMPT.MEMBER"))]
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
