//! Numbered log events.
//!
//! Every log line carries the number of its event in the field `event`; `docs/EVENTS.md` explains
//! each number. Numbers are never reused.

/// Declares the log events with their numbers and meanings, one line each.
macro_rules! log_events {
    ($($name:ident = $number:literal, $meaning:literal;)*) => {
        /// A numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum LogEvent {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl LogEvent {
            /// All events in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Meaning of the event, as listed in `docs/EVENTS.md`.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$name => $meaning,)*
                }
            }
        }
    };
}

impl LogEvent {
    /// Number of the event, as logged and as listed in `docs/EVENTS.md`.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

log_events! {
    ProcessStarted = 100, "A process has started and listens.";
    ShutdownStarted = 101, "A graceful shutdown has started.";
    ShutdownFinished = 102, "A graceful shutdown has finished.";
    ShutdownForced = 103, "The shutdown limit passed while work was still running; it is cut off.";
    ProcessFailed = 104, "The process ends because of an error; the cause is in the line.";
    SettingsRead = 105, "The settings file was read again; what changed, or why it could not be read, is in the line.";
    LinesDropped = 106, "Log lines were dropped because they exceeded the log budget, were too long or could not be written at once; the number is in the line.";
    ConnectionFailed = 110, "A connection could not be accepted, or ended with an error.";
    PeerUnauthorised = 111, "A message without the cluster secret was refused.";
    PeerVersionRefused = 112, "A message with a malformed protocol version or a newer major one was refused.";
    ConnectionRefused = 113, "A connection was closed because too many are open at the listener.";
    BodyNotRead = 114, "The body of a message to an agent was not read; the reason is in the line, and the request has not run.";
    MemoryHeld = 115, "What a control instance holds has crossed an eighth of the memory that it may hold, upwards or downwards; the bytes of each holder and their peaks are in the line.";
    DocumentInForce = 200, "A revision of the document is in force at this entry.";
    SubscriptionLost = 201, "The subscription to a control instance ended; it is opened again, at another instance if there is one.";
    StateStale = 202, "The state is older than the freshness lease; calls that need a key are refused.";
    PingFailed = 203, "A freshness ping was not answered; another control instance is tried.";
    UpstreamUnusable = 204, "The record of an upstream cannot be used; the upstream is left out.";
    SubscriptionRestored = 205, "A control instance that could not be reached answers again.";
    GroupFollowed = 206, "An entry follows another leader or other members of the control group; the instance that named them is in the line.";
    DocumentNotFetched = 207, "An entry could not fetch a newer document from a control instance; another one is asked.";
    RequestFailed = 210, "A request failed; the verdict says whether it may have run.";
    StreamSilent = 211, "An answer stream broke or sent nothing for too long; it is resumed on a new connection.";
    AnswerBroken = 212, "An answer failed after its beginning was sent; the caller got an error event, or the connection was closed early.";
    ClaimFailed = 213, "A claim was not opened, or its outcome is unknown; the call is not sent under it.";
    SuspectRefused = 214, "A request was refused because its fingerprint crashed upstreams.";
    SuspectNotCleared = 215, "The control group could not be told that a suspect request finished without a crash or did not run; its suspect record stays until it expires.";
    UpstreamEjected = 216, "An upstream gets no requests for a time because its answers fail.";
    RequestRefused = 217, "No upstream accepts a request; the reason and the remaining time are in the line.";
    AttemptFailed = 218, "An attempt at an upstream failed or was abandoned; the request may continue at another one.";
    StreamResumed = 219, "A stream continues after the last event that the caller has received, at another upstream or in a new request of the caller; the versions of the software are in the line.";
    UsageReportFailed = 220, "A batch of usage records was not acknowledged; it is sent again.";
    UsageDropped = 221, "Usage records were dropped, because too many were waiting or they were not acknowledged before the process ended.";
    FieldNotSent = 222, "A name from the settings or the document cannot be sent in a header field; the field is left out.";
    RefusalsChanged = 223, "The prompt parts and requests that an entry refuses because they crash upstreams have changed.";
    SuspectTried = 224, "An entry sends one request that was refused because it or a prompt part crashes upstreams, to find out whether it still does.";
    LimitChanged = 225, "An upstream states another limit of requests than before, or none any more.";
    FieldIgnored = 226, "A header field of an upstream's answer cannot be decoded and is ignored.";
    StreamRefused = 227, "A caller resumes a stream that cannot go on, because the version that began it is unknown or has no upstream; the caller has to begin it anew.";
    PauseStated = 228, "An upstream asks for a pause: it wants no requests of this process for the stated time.";
    LeavingStated = 229, "An upstream states in an answer that it leaves; it gets no new requests.";
    QuotaReached = 230, "Requests of an organisation are refused because they exceed its quota, for the first time in some seconds.";
    OverloadChanged = 235, "The engines of a service have become overloaded, so that the shares of organisations bind, or are so no longer.";
    StreamPaused = 238, "A stream paused for longer than its route allows; the upstream, the pause and the mean pause of the upstream are in the line. One line a stream.";
    UpstreamAnnounced = 300, "An upstream was announced to the control group.";
    AnnounceFailed = 301, "An announcement could not be delivered; it is repeated.";
    AgentSuperseded = 302, "A newer agent for the same upstream exists; this one refuses orders and requests.";
    UpstreamCrashed = 303, "An upstream crashed while requests were running: its connections broke, or it fell silent and started again.";
    ReportFailed = 304, "A report or announcement could not be delivered; it is sent again or dropped, as the line says.";
    OrderRefused = 305, "An order was refused; the reason is in the line.";
    OrderFinished = 306, "An order was carried out; the result is in the line.";
    LeaderElected = 400, "This control instance became leader.";
    LeaderResigned = 401, "This control instance is no longer leader.";
    IdentityRefused = 402, "The data folder is new, but the group knows another folder for the identity of this instance; it must be started under a new name.";
    MembershipAwaited = 403, "This control instance waits until an operator adds it; its identity is in the line.";
    MembershipChanged = 404, "The membership of the control group has changed.";
    MembershipWaits = 405, "A due change of the control group was not committed; it is tried again, and the reason is in the line.";
    InstanceRestarted = 406, "This control instance begins again in the same process, because the group had removed it; it joins under a new identity.";
    DocumentAccepted = 410, "A document was committed.";
    UpstreamSuspected = 411, "An upstream has missed lease renewals; it gets new requests only when no other upstream is available.";
    UpstreamsRemoved = 412, "Upstreams whose leases had expired were removed.";
    DocumentAcknowledged = 413, "A document was acknowledged to the operator.";
    DocumentNotCommitted = 414, "A document or another command was not confirmed as committed, or a committed document cannot be decoded.";
    CallRefused = 415, "An invalid call of an operator or upstream was refused; the reason is in the line.";
    ReadNotConfirmed = 416, "No quorum confirmed a read of the document; the caller was told to retry.";
    DepartureNotCommitted = 417, "The departure of an upstream was not committed in time; the upstream was told to repeat it, and gets no new requests meanwhile.";
    StorageFailed = 420, "The data folder cannot be read or written; the instance takes no part until it can, or its process stops.";
    StorageRestored = 421, "The data folder can be used again after a failure, and the instance takes part; the time without it is in the line.";
    OrderSettled = 430, "An order to an agent was settled; the result and the rule are in the line.";
    OrderUnanswered = 431, "An order to an agent has an unknown outcome; it is sent again with the same fencing number.";
    RoleOrdered = 432, "No engine of a service serves requests, so a prefill engine was ordered to decode; the outcome is in the line.";
    OriginsChanged = 433, "The software versions at which streams may begin have changed.";
    PlatformUnavailable = 435, "The platform interface did not answer; starts and stops wait.";
    PlatformOrderSent = 436, "A start or stop was sent to the platform.";
    PlatformOrderFailed = 437, "The platform refused a start or stop, which is settled as refused, or did not confirm it; then the list of running upstreams shows its effect.";
    PlatformOrderSettled = 438, "A start or stop was settled; the result is in the line.";
    WindowReported = 440, "The usage interface accepted a window.";
    WindowNotAccepted = 441, "The usage interface did not accept a window; the same bytes are sent again.";
    WindowLate = 442, "A window was not accepted within one window length after its close.";
    WindowNotClosed = 443, "The open window could not be closed and stays open, as when too many windows are not reported; closing is tried again.";
    UsageFenced = 444, "The usage interface has seen the fencing number of a later leader; this one stops reporting.";
    PlanCommitted = 450, "A capacity plan was committed.";
    PlanStepFinished = 451, "A step of the capacity plan has ended; the state is in the line.";
    PlanFrozen = 452, "Demand or load reports are stale or missing; no capacity changes are planned for the service.";
    PlanResumed = 453, "A new leader takes over an unfinished capacity plan.";
    CapacityRefused = 454, "The state machine refused a capacity change.";
}
