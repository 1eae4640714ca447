//! Actions: what the scheduler asks the caller to do.

use crate::ids::{EndpointId, RequestId};
use crate::quota::QuotaKind;
use shorepath_types::Micros;

/// Something that the caller is to do. Attempts of a request count from 0 in the order in which they are started.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt, to run until the client gives up.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
    },
    /// Final answer: load is shed; trying again is harmless.
    Shed {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it tries again, if advised.
        retry_after: Option<Micros>,
    },
    /// Final answer: not accepted here, because a quota that it needs from the start is used up, or because it belongs elsewhere.
    Reject {
        /// The request.
        id: RequestId,
        /// The quota that is used up; `None` for a request that belongs elsewhere.
        quota: Option<QuotaKind>,
    },
    /// Final answer: failed; it may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Hand in [`crate::Event::Wake`] after this time.
    WakeAfter {
        /// From now.
        delay: Micros,
    },
    /// Ask an endpoint for its load; [`crate::Event::ProbeEnded`] brings its answer.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
}
