//! Actions: what the caller has to do for the scheduler.

use crate::ids::{EndpointId, RequestId};
use crate::quota::QuotaKind;
use shorepath_types::Micros;

/// An action for the caller to carry out. Attempts of a request are numbered from 0 in the order in which
/// they start.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request, which may run until its client gives up.
    StartAttempt {
        /// The request to send.
        id: RequestId,
        /// The endpoint to send the attempt to.
        endpoint: EndpointId,
    },
    /// Final answer: the request is shed, and the client may safely retry.
    Shed {
        /// The request to answer.
        id: RequestId,
        /// How long the client should wait before a retry, or `None` to give no advice.
        retry_after: Option<Micros>,
    },
    /// Final answer: the request is not accepted here, because a quota on arrivals is used up or because the
    /// request belongs to another node.
    Reject {
        /// The request to answer.
        id: RequestId,
        /// The quota that is used up, or `None` for a request that belongs to another node.
        quota: Option<QuotaKind>,
    },
    /// Final answer: the request failed and may have run.
    Fail {
        /// The request to answer.
        id: RequestId,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt to cancel.
        attempt: u32,
    },
    /// Send [`crate::Event::Wake`] after a delay.
    WakeAfter {
        /// The delay, counted from now.
        delay: Micros,
    },
    /// Probe an endpoint for its load; [`crate::Event::ProbeEnded`] returns the result.
    Probe {
        /// The endpoint to probe.
        endpoint: EndpointId,
    },
    /// Close all idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint at the other end.
        endpoint: EndpointId,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
}
