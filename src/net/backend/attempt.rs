//! One attempt on a connection to a backend server: writes the request and reads the answer.

use super::connection::{Connection, Dispatch, Target, Task};
use super::{Backend, QUIET_PERIOD, TAIL_TIMEOUT};
use crate::net::close_reason::CloseReason;
use crate::net::codec::{OutgoingRequest, ReadError, ResponsePart};
use crate::net::exchange::DispatchId;
use crate::net::Job;
use serde::Deserialize;
use shorepath_scheduler::{AttemptStatus, Idempotency};
use std::time::Instant;
use tracing::{debug, warn};

/// A command for an idle connection.
#[derive(Debug)]
pub(super) enum ConnectionCommand {
    Run(Task),
    Close(CloseReason),
}

/// A line of the answer of a backend server, in JSON.
#[derive(Debug, Deserialize)]
pub(super) struct AnswerLine {
    pub(super) id: String,
    pub(super) state: JobState,
    /// Fraction of the job that is done, from 0 to 1.
    #[serde(rename = "share")]
    pub(super) progress: Option<f64>,
    pub(super) result: Option<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(super) enum JobState {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

/// The outcome of an attempt, and what happens to its connection.
pub(super) struct AttemptEnd {
    pub(super) status: AttemptStatus,
    /// Whether it ended by a response that names no request.
    pub(super) is_unnamed: bool,
    pub(super) next_step: NextStep,
}

pub(super) enum NextStep {
    /// The rest of the answer is read before the connection is reused.
    ReadTail,
    /// The connection is closed.
    Close(CloseReason),
}

impl AttemptEnd {
    pub(super) fn closing(status: AttemptStatus, close_reason: CloseReason) -> Self {
        AttemptEnd { status, is_unnamed: false, next_step: NextStep::Close(close_reason) }
    }

    fn answered(status: AttemptStatus) -> Self {
        AttemptEnd { status, is_unnamed: false, next_step: NextStep::ReadTail }
    }

    fn answered_without_name(status: AttemptStatus) -> Self {
        AttemptEnd { is_unnamed: true, ..AttemptEnd::answered(status) }
    }
}

impl Backend {
    /// Makes one attempt on a connection that received its last answer to a job at `answered_at`, and reports its end. Returns why
    /// the connection has to be closed, if it has to, and whether there was an answer.
    pub(super) async fn attempt(
        &self,
        connection: &mut Connection,
        target: &Target,
        mut dispatch: Dispatch,
        answered_at: Option<Instant>,
    ) -> (Option<CloseReason>, bool) {
        let id = dispatch.id;
        let written = self.write_request(connection, target, &mut dispatch).await;
        let is_written = written.is_ok();
        let end = match written {
            Err(end) => end,
            Ok(()) => {
                let answer = self.read_answer(connection, id, &dispatch.payload);
                tokio::select! {
                    biased;
                    _ = &mut dispatch.cancelled => AttemptEnd::closing(AttemptStatus::Cancelled, CloseReason::Cancelled),
                    end = answer => end,
                    () = self.deadlines.at(dispatch.deadline) => AttemptEnd::closing(AttemptStatus::Timeout, CloseReason::TimedOut),
                }
            }
        };
        let end = match answered_at.filter(|at| at.elapsed() < QUIET_PERIOD) {
            Some(_) => self.end_soon_after_answer(end, dispatch.idempotency),
            None => end,
        };
        if is_written && self.exchange.may_have_run(id, end.status) {
            dispatch.payload.id.set_may_have_run();
        }
        if end.status != AttemptStatus::Ok {
            self.report_end(id, end.status);
        }
        let is_answered = end.status.has_response();
        if let NextStep::Close(close_reason) = end.next_step {
            return (Some(close_reason), is_answered);
        }
        // Releases the claim on the request id, as the attempt has ended.
        drop(dispatch);
        let tail = async {
            loop {
                match connection.next().await {
                    Some(Ok(ResponsePart::Line(_) | ResponsePart::Data(_))) => {}
                    Some(Ok(ResponsePart::End { reusable: true })) => break None,
                    Some(Ok(ResponsePart::End { reusable: false })) => break Some(CloseReason::LastMessage),
                    Some(Ok(ResponsePart::Head { .. }) | Err(ReadError::Malformed { .. })) => {
                        break Some(CloseReason::Malformed)
                    }
                    None | Some(Err(ReadError::Io(_))) => break Some(CloseReason::PeerBroke),
                }
            }
        };
        let close_reason = tokio::select! {
            biased;
            close_reason = tail => close_reason,
            () = self.deadlines.after(TAIL_TIMEOUT) => Some(CloseReason::TooSlow),
        };
        (close_reason, is_answered)
    }

    /// Returns how an attempt ends whose answer came so soon after the previous one on the connection that it may be a second answer to
    /// the previous job.
    fn end_soon_after_answer(&self, end: AttemptEnd, idempotency: Idempotency) -> AttemptEnd {
        // If a rejection were taken for this job's, it would prove that nothing ran, and a keyed job could go to a server that doesn't
        // know its key.
        if end.status == AttemptStatus::Overloaded && idempotency != Idempotency::Idempotent {
            return AttemptEnd::closing(AttemptStatus::Cancelled, CloseReason::Cancelled);
        }
        // This job may still run at the server; without its connection it is not in flight beside the next attempt.
        let may_be_retried = matches!(end.status, AttemptStatus::Overloaded | AttemptStatus::Error);
        if end.is_unnamed && may_be_retried && !self.limits.get().allows_concurrent_attempts {
            return AttemptEnd::closing(end.status, CloseReason::Cancelled);
        }
        end
    }

    /// Writes the complete request. Before its last byte is written, nothing can have run.
    pub(super) async fn write_request(
        &self,
        connection: &mut Connection,
        target: &Target,
        dispatch: &mut Dispatch,
    ) -> Result<(), AttemptEnd> {
        // Nothing is sent to a server that leaves or has moved.
        if !target.accepts_new() {
            return Err(AttemptEnd::closing(AttemptStatus::NotSent, CloseReason::ServerLeft));
        }
        // Guards against sending an expired request: if the process was suspended, the connection may become available after the
        // deadline, when the client may have got a failure. Also guards against a retry that the server runs as a new job because
        // it no longer knows the idempotency key.
        if Instant::now() >= dispatch.write_by {
            return Err(AttemptEnd::closing(AttemptStatus::NotSent, CloseReason::TimedOut));
        }
        // Guards requests that must run at most once: another node may hold the lease of the key's range by now.
        if !self.exchange.may_send(dispatch.id) {
            return Err(AttemptEnd::closing(AttemptStatus::NotSent, CloseReason::TimedOut));
        }
        let job = &dispatch.payload;
        let left = dispatch.deadline.saturating_duration_since(Instant::now());
        let mut fields = format!("Host: {}\r\nRequest-Id: {}\r\n", job.host, job.id);
        fields.push_str(&format!("Request-Timeout: {}u\r\n", left.as_micros().max(1)));
        if let Some(tenant) = &job.tenant {
            fields.push_str(&format!("Tenant: {tenant}\r\n"));
        }
        if let Some(key) = &job.repeat_key {
            fields.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        let request = OutgoingRequest { method: "POST", target: &job.target, fields, body: Some(&job.body) };
        tokio::select! {
            biased;
            _ = &mut dispatch.cancelled => Err(AttemptEnd::closing(AttemptStatus::Cancelled, CloseReason::Cancelled)),
            sent = connection.send(request) => sent.map_err(|e| {
                debug!("could not write a request to a backend server: {e}");
                AttemptEnd::closing(AttemptStatus::ConnectFailed, CloseReason::PeerBroke)
            }),
            () = self.deadlines.at(dispatch.write_by) => {
                Err(AttemptEnd::closing(AttemptStatus::ConnectFailed, CloseReason::TooSlow))
            }
        }
    }

    /// Reads the answer up to the line that ends the attempt.
    pub(super) async fn read_answer(
        &self,
        connection: &mut Connection,
        id: DispatchId,
        job: &Job,
    ) -> AttemptEnd {
        let invalid_answer = |reason: &str| {
            warn!("invalid answer of a backend server to request {}: {reason}", job.id);
            AttemptEnd::closing(AttemptStatus::Error, CloseReason::Malformed)
        };
        loop {
            match connection.next().await {
                Some(Ok(ResponsePart::Head { status: 200, .. } | ResponsePart::Data(_))) => {}
                Some(Ok(ResponsePart::Head { status, fields })) => {
                    debug!("a backend server answered request {} with status {status}", job.id);
                    let is_not_started = matches!(fields.get("not-started"), Ok(Some("1")));
                    let status = match status {
                        503 | 504 if is_not_started => AttemptStatus::Overloaded,
                        400..=499 => AttemptStatus::BadRequest,
                        _ => AttemptStatus::Error,
                    };
                    return AttemptEnd::answered_without_name(status);
                }
                Some(Ok(ResponsePart::Line(line))) => match self.handle_line(id, job, &line) {
                    Ok(None) => {}
                    Ok(Some(status)) => return AttemptEnd::answered(status),
                    Err(reason) => return invalid_answer(&reason),
                },
                Some(Err(ReadError::Malformed { reason, .. })) => return invalid_answer(reason),
                Some(Ok(ResponsePart::End { .. })) | Some(Err(ReadError::Io(_))) | None => {
                    return AttemptEnd::closing(AttemptStatus::Reset, CloseReason::PeerBroke)
                }
            }
        }
    }

    /// Handles a line of the answer. Returns the outcome of the attempt if the line ends it; fails with a description of an invalid
    /// line.
    pub(super) fn handle_line(
        &self,
        id: DispatchId,
        job: &Job,
        line_bytes: &[u8],
    ) -> Result<Option<AttemptStatus>, String> {
        if line_bytes.trim_ascii().is_empty() {
            return Ok(None);
        }
        let line: AnswerLine = serde_json::from_slice(line_bytes).map_err(|e| e.to_string())?;
        // Guards against using the result of another request.
        if line.id != *job.id {
            return Err(format!("the line is for request '{}'", line.id));
        }
        Ok(match line.state {
            JobState::Started => {
                self.exchange.attempt_started(id);
                None
            }
            JobState::Running => {
                self.exchange.attempt_progress(id, line.progress.unwrap_or(0.0));
                None
            }
            JobState::Done => {
                let result = line.result.ok_or("the state is done but there is no result")?;
                self.in_flight.borrow_mut().remove(&id);
                self.exchange.attempt_served(id, result.into_bytes());
                Some(AttemptStatus::Ok)
            }
            JobState::Failed => Some(AttemptStatus::Error),
            JobState::Returned => Some(AttemptStatus::Overloaded),
            JobState::Lost => Some(AttemptStatus::Reset),
        })
    }
}

/// Parses a load report of the form `TEXT inflight=7, queue=2`. Ignores everything that is not a field with a finite number.
pub(super) fn parse_load_report(line: &[u8]) -> Vec<(String, f64)> {
    let text = String::from_utf8_lossy(line);
    let messages = text.split([' ', ',']).filter_map(|message| message.split_once('='));
    let figure = |(name, value): (&str, &str)| Some((name.to_string(), value.parse().ok()?));
    messages.filter_map(figure).filter(|(_, value): &(_, f64)| value.is_finite()).collect()
}
