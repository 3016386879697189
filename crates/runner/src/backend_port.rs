//! What is asked of a backend server, in the product's words; an adapter speaks its protocol.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc, //
};

use roseridge_flow::{
    BackendProfile,
    EndRecord, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    RunKey, //
};

/// One call to a life of a backend server; every call is idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunCall {
    /// Extends the lease, lets ends be forgotten, and lists what runs and what has ended.
    Renew {
        /// The life.
        backend: BackendId,
        /// The term that the call follows from.
        fence: u64,
        /// The time on the backend server's clock until which what runs may go on.
        lease_until_ms: Option<u64>,
        /// The number of the last end that may be forgotten.
        ends_seen: u64,
        /// How long the answer may be held back for an end.
        wait: DurationMs,
    },
    /// Starts a run.
    Start {
        /// The life.
        backend: BackendId,
        /// The term that the call follows from.
        fence: u64,
        /// The run.
        run: RunKey,
        /// The text of its flow.
        text: String,
        /// The checkpoint to begin from, or nothing.
        saved: String,
        /// The time on the backend server's clock until which the run may go on.
        lease_until_ms: u64,
    },
    /// Stops a run, or keeps one that is not there from starting later.
    Stop {
        /// The life.
        backend: BackendId,
        /// The term that the call follows from.
        fence: u64,
        /// The run.
        run: RunKey,
    },
}

impl RunCall {
    /// Returns the life that the call is for.
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
    /// Its newest checkpoint, or nothing.
    pub saved: String,
    /// How much of its work is done, in whole percent.
    pub percent: u8,
}

/// What a backend server lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunList {
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What has ended and was not forgotten.
    pub ended: Vec<EndRecord>,
}

/// Why a backend server refused a call; it has done nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunRefusal {
    /// It has seen a higher term.
    OldFence,
    /// The run has ended or was stopped there, or a higher one has.
    OldRun,
    /// The lease that the call carries has ended.
    LateLease,
    /// It has no room for the run.
    NoRoom,
    /// It is not well.
    Unhealthy,
    /// It does not understand the call, or refuses it for another reason.
    Rejected,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunAnswer {
    /// The call was carried out.
    Done {
        /// The backend server's clock.
        clock_ms: u64,
        /// The lists, for [`RunCall::Renew`].
        list: Option<RunList>,
    },
    /// The call was refused.
    Refused(RunRefusal),
    /// Another life of the backend server answered; the call was not carried out.
    OtherLife,
    /// No answer came; the call may have been carried out, or may be later.
    NoAnswer,
}

/// The future of an answer.
pub type AnswerFuture = Pin<Box<dyn Future<Output = RunAnswer>>>;

/// How an adapter calls the backend server of this instance; it bounds the time of each call.
#[derive(Clone)]
pub struct BackendPort(Rc<dyn Fn(RunCall) -> AnswerFuture>);

impl BackendPort {
    /// Makes a port of a closure that sends one call.
    pub fn new(call: impl Fn(RunCall) -> AnswerFuture + 'static) -> Self {
        Self(Rc::new(call))
    }

    /// Sends a call and waits for its answer.
    pub fn call(&self, call: RunCall) -> AnswerFuture {
        (self.0)(call)
    }
}

impl fmt::Debug for BackendPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BackendPort").finish_non_exhaustive()
    }
}

/// A backend server's report of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LivenessReport {
    /// Its present life.
    pub backend: BackendId,
    /// What it offers and where it is.
    pub profile: BackendProfile,
    /// The place of the notice among all notices of the life.
    pub sequence: u64,
    /// The time that is left at least, if it leaves.
    pub draining: Option<DurationMs>,
}

/// What an adapter tells the runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// A backend server reported itself.
    Reported(LivenessReport),
    /// A life of the backend server says that it ends.
    Leaving(BackendId),
}
