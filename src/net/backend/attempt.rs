//! One attempt on a connection: writing the request, reading the answer.

use super::connection::{Connection, Dispatch, Target, Task};
use super::{Backend, QUIET, TAIL};
use crate::net::close_reason::CloseReason;
use crate::net::codec::{Outgoing, Piece, ReadError};
use crate::net::exchange::DispatchId;
use crate::net::Job;
use serde::Deserialize;
use shorepath_scheduler::{AttemptStatus, Idempotency};
use std::time::Instant;
use tracing::{debug, warn};

/// What an idle connection is told.
#[derive(Debug)]
pub(super) enum Call {
    Do(Task),
    Close(CloseReason),
}

/// A line of a backend server's answer.
#[derive(Debug, Deserialize)]
pub(super) struct Line {
    pub(super) id: String,
    pub(super) state: State,
    pub(super) share: Option<f64>,
    pub(super) result: Option<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(super) enum State {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

/// How an attempt ended, and what that means for its connection.
pub(super) struct End {
    pub(super) status: AttemptStatus,
    pub(super) after: After,
}

pub(super) enum After {
    /// The rest of the answer has to be read before it is used again.
    Tail,
    /// It ends.
    Ends(CloseReason),
}

impl End {
    pub(super) fn closing(status: AttemptStatus, close_reason: CloseReason) -> Self {
        End { status, after: After::Ends(close_reason) }
    }
}

impl Backend {
    /// Make one attempt, on a connection that last brought an answer then, and report its end; why the connection ends, if it does,
    /// and whether an answer had come.
    pub(super) async fn attempt(
        &self,
        connection: &mut Connection,
        target: &Target,
        mut dispatch: Dispatch,
        answered_at: Option<Instant>,
    ) -> (Option<CloseReason>, bool) {
        let id = dispatch.id;
        let ended = match self.write(connection, target, &mut dispatch).await {
            Err(end) => end,
            Ok(()) => {
                let answer = self.answer(connection, id, &dispatch.payload);
                tokio::select! {
                    biased;
                    _ = &mut dispatch.cancelled => End::closing(AttemptStatus::Cancelled, CloseReason::Cancelled),
                    end = answer => end,
                    () = self.deadlines.at(dispatch.until) => End::closing(AttemptStatus::Timeout, CloseReason::TimedOut),
                }
            }
        };
        // Guards against a second answer to the job before: so soon, "turned away" may be about that one. Taken for this one's it would
        // prove that nothing ran, and a keyed job go where its key is not known.
        let doubtful =
            ended.status == AttemptStatus::Overloaded && dispatch.effect != Idempotency::Idempotent;
        let ended = match answered_at.filter(|at| doubtful && at.elapsed() < QUIET) {
            Some(_) => End::closing(AttemptStatus::Cancelled, CloseReason::Cancelled),
            None => ended,
        };
        if ended.status != AttemptStatus::Ok {
            self.report(id, ended.status);
        }
        let answered = ended.status.has_response();
        if let After::Ends(close_reason) = ended.after {
            return (Some(close_reason), answered);
        }
        // With it goes the claim on its id: the attempt is over.
        drop(dispatch);
        let tail = async {
            loop {
                match self.pool.next(connection).await {
                    Some(Ok(Piece::Line(_) | Piece::Part(_))) => {}
                    Some(Ok(Piece::End { reusable: true })) => break None,
                    Some(Ok(Piece::End { reusable: false })) => break Some(CloseReason::LastMessage),
                    Some(Ok(Piece::Head { .. }) | Err(ReadError::Bad { .. })) => {
                        break Some(CloseReason::Malformed)
                    }
                    None | Some(Err(ReadError::Io(_))) => break Some(CloseReason::PeerBroke),
                }
            }
        };
        let close_reason = tokio::select! {
            biased;
            close_reason = tail => close_reason,
            () = self.deadlines.after(TAIL) => Some(CloseReason::TooSlow),
        };
        (close_reason, answered)
    }

    /// Write a request whole. Until its last byte is written nothing can have run.
    pub(super) async fn write(
        &self,
        connection: &mut Connection,
        target: &Target,
        dispatch: &mut Dispatch,
    ) -> Result<(), End> {
        // Nothing is begun once the server is known to leave, or to be elsewhere.
        if !target.takes() {
            return Err(End::closing(AttemptStatus::NotSent, CloseReason::ServerLeft));
        }
        // Guards against sending what is over: where the process stood still the connection and the end of the request's
        // time are seen together, and its client may have been told that it failed. And against a repeat that its server takes for
        // a new job, as it has forgotten the key.
        if Instant::now() >= dispatch.written_by {
            return Err(End::closing(AttemptStatus::NotSent, CloseReason::TimedOut));
        }
        // Guards keys that must not run twice: another node may be home to this one by now.
        if !self.exchange.may_send(dispatch.id) {
            return Err(End::closing(AttemptStatus::NotSent, CloseReason::TimedOut));
        }
        let job = &dispatch.payload;
        let left = dispatch.until.saturating_duration_since(Instant::now());
        let mut fields = format!("Host: {}\r\nRequest-Id: {}\r\n", job.host, job.id);
        fields.push_str(&format!("Request-Timeout: {}u\r\n", left.as_micros().max(1)));
        if let Some(tenant) = &job.tenant {
            fields.push_str(&format!("Tenant: {tenant}\r\n"));
        }
        if let Some(key) = &job.repeat_key {
            fields.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        let request = Outgoing { method: "POST", target: &job.target, fields, body: Some(&job.body) };
        tokio::select! {
            biased;
            _ = &mut dispatch.cancelled => Err(End::closing(AttemptStatus::Cancelled, CloseReason::Cancelled)),
            sent = self.pool.send(connection, request) => sent.map_err(|e| {
                debug!("writing a dispatch: {e}");
                End::closing(AttemptStatus::ConnectFailed, CloseReason::PeerBroke)
            }),
            () = self.deadlines.at(dispatch.written_by) => {
                Err(End::closing(AttemptStatus::ConnectFailed, CloseReason::TooSlow))
            }
        }
    }

    /// Read the answer up to what ends the attempt.
    pub(super) async fn answer(&self, connection: &mut Connection, id: DispatchId, job: &Job) -> End {
        let nonsense = |reason: &str| {
            warn!("a backend server's answer to {} makes no sense: {reason}", job.id);
            End::closing(AttemptStatus::Error, CloseReason::Malformed)
        };
        loop {
            match self.pool.next(connection).await {
                Some(Ok(Piece::Head { status: 200, .. } | Piece::Part(_))) => {}
                Some(Ok(Piece::Head { status, fields })) => {
                    debug!("a backend server answered {} with {status}", job.id);
                    let unstarted = matches!(fields.get("not-started"), Ok(Some("1")));
                    let status = match status {
                        503 | 504 if unstarted => AttemptStatus::Overloaded,
                        400..=499 => AttemptStatus::BadRequest,
                        _ => AttemptStatus::Error,
                    };
                    return End { status, after: After::Tail };
                }
                Some(Ok(Piece::Line(line))) => match self.line(id, job, &line) {
                    Ok(None) => {}
                    Ok(Some(status)) => return End { status, after: After::Tail },
                    Err(reason) => return nonsense(&reason),
                },
                Some(Err(ReadError::Bad { reason, .. })) => return nonsense(reason),
                Some(Ok(Piece::End { .. })) | Some(Err(ReadError::Io(_))) | None => {
                    return End::closing(AttemptStatus::Reset, CloseReason::PeerBroke)
                }
            }
        }
    }

    /// Take a line of the answer in: how the attempt has ended, if it tells that.
    pub(super) fn line(
        &self,
        id: DispatchId,
        job: &Job,
        text: &[u8],
    ) -> Result<Option<AttemptStatus>, String> {
        if text.trim_ascii().is_empty() {
            return Ok(None);
        }
        let line: Line = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        // Guards against passing on what was made for another request.
        if line.id != *job.id {
            return Err(format!("it is about '{}'", line.id));
        }
        Ok(match line.state {
            State::Started => {
                self.exchange.started(id);
                None
            }
            State::Running => {
                self.exchange.progress(id, line.share.unwrap_or(0.0));
                None
            }
            State::Done => {
                let result = line.result.ok_or("it is done without a result")?;
                self.out.borrow_mut().remove(&id);
                self.exchange.served(id, result.into_bytes());
                Some(AttemptStatus::Ok)
            }
            State::Failed => Some(AttemptStatus::Error),
            State::Returned => Some(AttemptStatus::Overloaded),
            State::Lost => Some(AttemptStatus::Reset),
        })
    }
}

/// The figures of a load report as text, `TEXT inflight=7, queue=2`; what is no figure is passed over.
pub(super) fn figures(line: &[u8]) -> Vec<(String, f64)> {
    let text = String::from_utf8_lossy(line);
    let messages = text.split([' ', ',']).filter_map(|message| message.split_once('='));
    let figure = |(name, value): (&str, &str)| Some((name.to_string(), value.parse().ok()?));
    messages.filter_map(figure).filter(|(_, value): &(_, f64)| value.is_finite()).collect()
}
