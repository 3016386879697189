//! The calls to a backend server, independent of its protocol, which an adapter implements.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc, //
};

use roseridge_flow::{
    BackendProfile,
    RunCompletion, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    RunKey, //
};

/// A call to one incarnation of a backend server; every call is idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunCall {
    /// Extends the lease, acknowledges completions, and lists the running and the completed runs.
    Renew {
        /// The incarnation that the call is addressed to.
        backend: BackendId,
        /// The term of the leader whose orders the call carries out.
        fence: u64,
        /// The new end of the lease, in milliseconds on the backend server's clock.
        ///
        /// `None` leaves the lease as it is.
        lease_until_ms: Option<u64>,
        /// The number of the last acknowledged completion; the backend server may forget it and all
        /// earlier ones.
        ends_seen: u64,
        /// The maximum time that the backend server may wait for a completion before it answers.
        wait: DurationMs,
    },
    /// Starts a run.
    Start {
        /// The incarnation that the call is addressed to.
        backend: BackendId,
        /// The term of the leader whose orders the call carries out.
        fence: u64,
        /// The run.
        run: RunKey,
        /// The text of the run's flow.
        text: String,
        /// The checkpoint to start from, or an empty string.
        saved: String,
        /// The end of the lease, in milliseconds on the backend server's clock.
        lease_until_ms: u64,
    },
    /// Stops a run; a run that has not started can't start afterwards.
    Stop {
        /// The incarnation that the call is addressed to.
        backend: BackendId,
        /// The term of the leader whose orders the call carries out.
        fence: u64,
        /// The run.
        run: RunKey,
    },
}

impl RunCall {
    /// Returns the incarnation that the call is addressed to.
    pub fn backend(&self) -> &BackendId {
        match self {
            Self::Renew { backend, .. }
            | Self::Start { backend, .. }
            | Self::Stop { backend, .. } => backend,
        }
    }
}

/// A run that a backend server lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub run: RunKey,
    /// The run's newest checkpoint, or an empty string.
    pub saved: String,
    /// The completed share of the run's work, in whole percent.
    pub percent: u8,
}

/// The runs that a backend server lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunList {
    /// The running runs.
    pub running: Vec<ListedRun>,
    /// The completed runs that have not been acknowledged.
    pub ended: Vec<RunCompletion>,
    /// Whether completions may be left out because a list has a maximum length.
    pub is_truncated: bool,
    /// The number of rows of running runs that could not be read. While there are any, a run without a
    /// row may still be running.
    pub unreadable_running: usize,
    /// The number of rows of completed runs that could not be read.
    pub unreadable_ended: usize,
}

/// Why a backend server refused a call; a refused call has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunRefusal {
    /// The backend server has seen a higher term than the call's.
    OldFence,
    /// The run, or a later run of the same task, has ended or was stopped on the backend server.
    OldRun,
    /// The lease that the call carries has expired.
    LateLease,
    /// The backend server lacks the free resources for the run.
    NoRoom,
    /// The backend server is unhealthy.
    Unhealthy,
    /// The backend server does not understand the call, or refuses it for another reason.
    Rejected,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunAnswer {
    /// The call was carried out.
    Done {
        /// The reading of the backend server's clock, in milliseconds.
        clock_ms: u64,
        /// The listed runs, in the answer to [`RunCall::Renew`].
        list: Option<RunList>,
    },
    /// The call was refused.
    Refused(RunRefusal),
    /// Another incarnation of the backend server answered. It has carried out the call if it shares its
    /// name with the expected incarnation.
    OtherLife,
    /// A backend server with another name answered; the call was not carried out.
    OtherServer,
    /// No answer arrived; the call may have been carried out, or may yet be.
    NoAnswer,
}

/// A future that resolves to the answer to a call.
pub type AnswerFuture = Pin<Box<dyn Future<Output = RunAnswer>>>;

/// Sends calls to the backend server of this instance; the adapter behind it limits the time of each.
#[derive(Clone)]
pub struct BackendPort(Rc<dyn Fn(RunCall) -> AnswerFuture>);

impl BackendPort {
    /// Creates a port from a closure that sends one call.
    pub fn new(call: impl Fn(RunCall) -> AnswerFuture + 'static) -> Self {
        Self(Rc::new(call))
    }

    /// Sends a call and returns the future of its answer.
    pub fn call(&self, call: RunCall) -> AnswerFuture {
        (self.0)(call)
    }
}

impl fmt::Debug for BackendPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BackendPort").finish_non_exhaustive()
    }
}

/// A backend server's periodic report on itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusReport {
    /// The current incarnation of the backend server.
    pub backend: BackendId,
    /// The resources and the location of the backend server.
    pub profile: BackendProfile,
    /// A number that grows with every report of one incarnation.
    pub sequence: u64,
    /// The minimum time until the backend server leaves, if it is draining.
    pub draining: Option<DurationMs>,
    /// The time for which the backend server is still cold.
    pub cold_remaining: DurationMs,
}

/// An event that an adapter passes to the runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// A backend server sent a report on itself.
    Reported(StatusReport),
    /// An incarnation of the backend server announced its shutdown.
    ///
    /// It may state only its name; the current incarnation with that name is meant.
    Leaving(BackendId),
    /// A report arrived that does not describe a usable backend server.
    Unusable {
        /// The name that the report states, escaped and shortened.
        name: String,
    },
}
