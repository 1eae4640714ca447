//! Parses requests of clients into jobs, and turns outcomes into HTTP answers.

use super::request_ids::{Claim, ClaimError, Repeat};
use super::Frontend;
use crate::net::codec::{Answer, Request};
use crate::net::exchange::{RequestParams, ResponseOutcome};
use crate::net::sites::Rejection;
use crate::net::Job;
use shorepath_scheduler::{ClassId, Micros, WorkState};
use std::time::Duration;
use tracing::warn;

/// `Retry-After` of a rejection that may be retried, such as one because of an unconfirmed account; links usually recover
/// within this time.
const REJECTION_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Frontend {
    pub(super) fn health(&self, request: &Request) -> Answer {
        let unhealthy_reason = self.state.borrow().unhealthy_reason();
        let (status, text) = unhealthy_reason.map_or((200, "ok"), |reason| (503, reason));
        match request.method.as_str() {
            "GET" => Answer::text(status, text, false),
            "HEAD" => head_only(Answer::text(status, text, false)),
            _ => Answer::not_allowed("GET, HEAD", false),
        }
    }

    fn class_of(&self, target: &str) -> Option<ClassId> {
        let path = target.split('?').next().unwrap_or(target);
        let name = path.strip_prefix('/').map(|p| p.split('/').next().unwrap_or(p));
        name.and_then(|n| self.exchange.class(n))
    }

    /// Claims the id of a request, and waits until the predecessor of this process, if there is one, has confirmed that it may run.
    /// `None` if the request has no usable id.
    pub(super) async fn claim_id(&self, request: &Request) -> Option<Result<Claim, ClaimError>> {
        let id = request.fields.get("request-id").ok().flatten().filter(|id| !id.is_empty())?;
        let repeat = self.class_of(&request.target).map_or(Repeat::Allowed, |class| self.repeat_of(class));
        let claim = match Claim::acquire(id, repeat, &self.request_ids) {
            Ok(claim) => claim,
            Err(e) => return Some(Err(e)),
        };
        Some(claim.confirmed(&self.deadlines).await.map(|()| claim))
    }

    /// Returns whether a request of the class may run again after another one with its id. Sites, where there are any, know the repeats of
    /// their requests themselves.
    fn repeat_of(&self, class: ClassId) -> Repeat {
        let is_recorded = self.sites.borrow().is_some();
        match is_recorded || self.exchange.is_idempotent(class) {
            true => Repeat::Allowed,
            false => Repeat::Forbidden,
        }
    }

    /// Parses a request into a job. Fails with an answer that closes the connection, which guards against clients that send
    /// hundreds of invalid requests.
    pub(super) fn parse_job(
        &self,
        mut request: Request,
        claim: Option<Result<Claim, ClaimError>>,
    ) -> Result<(RequestParams, Job), Answer> {
        let malformed = |reason: &str| Answer::text(400, reason, true);
        let (_, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let Some(class) = self.class_of(&request.target) else {
            return Err(Answer::text(404, "no such class", true));
        };
        if request.method != "POST" {
            return Err(Answer::not_allowed("POST", true));
        }
        let field = |name: &str| match request.fields.get(name) {
            Ok(value) => Ok(value.filter(|v| !v.is_empty())),
            Err(e) => Err(malformed(&e.to_string())),
        };
        field("request-id")?.ok_or_else(|| malformed("no Request-Id"))?;
        let timeout = field("request-timeout")?.ok_or_else(|| malformed("no Request-Timeout"))?;
        let timeout = parse_timeout(timeout).ok_or_else(|| malformed("Request-Timeout is no time"))?;
        let max_timeout = self.state.borrow().stopping.and_then(|s| s.timeout(request.arrived));
        let timeout = max_timeout.map_or(timeout, |max_timeout| timeout.min(max_timeout));
        let tenant = field("tenant")?.map(str::to_string);
        let tenant_id = tenant.as_deref().and_then(|t| self.exchange.tenant(t));
        if self.exchange.has_tenants() && tenant_id.is_none() {
            return Err(malformed("Tenant names no tenant"));
        }
        let home_site = match &*self.sites.borrow() {
            Some(_) => field("home-site")?.map(str::to_string),
            None => None,
        };
        let repeat_key = field("idempotency-key")?.map(str::to_string);
        if repeat_key.is_none() && self.exchange.is_keyed(class) {
            return Err(malformed("no Idempotency-Key, which this class needs"));
        }
        // An invalid hint is ignored, as the request can be served without it.
        let hint_text = field("work-hint")?;
        let work_hint = hint_text.and_then(parse_work_hint);
        if let (Some(text), None) = (hint_text, work_hint) {
            warn!("ignoring a Work-Hint that is not a time in microseconds: '{text}'");
        }
        let slots = parse_number_field(field("request-info")?.unwrap_or(""), "slots").unwrap_or(1.0);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let key = pairs.filter(|(name, _)| *name == "obj").map(|(_, value)| value.to_string()).next();
        let params = RequestParams {
            class,
            tenant: tenant_id,
            key,
            arrived: request.arrived,
            timeout,
            work_hint,
            slots: slots.clamp(1.0, 1e6) as u32,
            is_retry: field("client-retry")? == Some("1"),
            work_state: WorkState::New,
            is_remote: false,
        };
        let host = field("host")?.unwrap_or("").to_string();
        let no_memory = |_| Answer::text(503, "no memory is left for the request", true);
        request.body.count_request_head(request.head_bytes).map_err(no_memory)?;
        let id = claim.ok_or_else(|| malformed("no Request-Id"))?.map_err(claim_error_answer)?;
        Ok((
            params,
            Job { host, id, tenant, home_site, repeat_key, target: request.target, body: request.body },
        ))
    }
}

/// Returns the answer to a request whose id can't be claimed.
fn claim_error_answer(error: ClaimError) -> Answer {
    let status = if error == ClaimError::Unconfirmed { 503 } else { 409 };
    let text = match error {
        ClaimError::InUse => "Request-Id is in use",
        ClaimError::MayHaveRun => "Request-Id was used before: the request may have run",
        ClaimError::Unconfirmed => "the other process of this node does not reply: trying again is harmless",
    };
    Answer::text(status, text, true)
}

/// Parses the time that a client waits: a number followed by the unit `m` (milliseconds) or `u` (microseconds).
pub(super) fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: f64 = number.parse().ok().filter(|n: &f64| n.is_finite() && *n > 0.0)?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    // The cap keeps the conversion within the range of `Duration`.
    Some(Duration::from_secs_f64(seconds.min(3600.0)))
}

/// Parses the client's estimate of the work of a job, in microseconds; `None` if it is invalid.
pub(super) fn parse_work_hint(text: &str) -> Option<Micros> {
    // One hour, like the longest timeout of a client.
    let hint = text.parse().ok().filter(|n: &f64| *n > 0.0 && *n <= 3.6e9);
    hint.map(|n| n.max(1.0) as Micros)
}

/// Returns the value of `name` in a list of the form `name=value,name=value`; `None` if it is missing or not finite.
pub(super) fn parse_number_field(text: &str, name: &str) -> Option<f64> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(n, _)| n.trim() == name).find_map(|(_, value)| value.trim().parse().ok());
    found.filter(|n: &f64| n.is_finite())
}

pub(super) fn head_only(mut answer: Answer) -> Answer {
    if let Answer::Full { head_only, .. } = &mut answer {
        *head_only = true;
    }
    answer
}

pub(super) fn close_if(mut answer: Answer, is_last: bool) -> Answer {
    if let Answer::Full { close, .. } = &mut answer {
        *close |= is_last;
    }
    answer
}

/// Returns the HTTP answer for an outcome. `extra_field` is an additional field with a time in seconds; each `Retry-After` time
/// passes through `capped_retry_after`, which returns `None` if the field is not sent.
pub(super) fn answer_for(
    outcome: ResponseOutcome,
    rejection: Option<Rejection>,
    extra_field: Option<(&str, Duration)>,
    capped_retry_after: impl Fn(Duration) -> Option<Duration>,
) -> Answer {
    let mut answer = base_answer(outcome, rejection, capped_retry_after(REJECTION_RETRY_AFTER));
    let extra_field = extra_field.and_then(|(name, time)| match name {
        "Retry-After" => Some((name, capped_retry_after(time)?)),
        _ => Some((name, time)),
    });
    if let (Answer::Full { fields, .. }, Some((name, time))) = (&mut answer, extra_field) {
        *fields += &format!("{name}: {:.3}\r\n", time.as_secs_f64());
    }
    answer
}

/// Returns the answer for an outcome without the extra field of [`answer_for`].
pub(super) fn base_answer(
    outcome: ResponseOutcome,
    rejection: Option<Rejection>,
    rejection_retry_after: Option<Duration>,
) -> Answer {
    match outcome {
        ResponseOutcome::Served(body) => {
            Answer::Full { status: 200, fields: String::new(), body, close: false, head_only: false }
        }
        ResponseOutcome::Shed { retry_after } => {
            let mut answer = Answer::text(503, "denied: trying again is harmless", false);
            if let (Answer::Full { fields, .. }, Some(t)) = (&mut answer, retry_after) {
                *fields = format!("Retry-After: {:.3}\r\n", t.as_secs_f64());
            }
            answer
        }
        ResponseOutcome::Rejected { .. } => {
            let default_rejection =
                || Rejection { status: 403, reason: "not taken here".to_string(), retry: false };
            let rejection = rejection.unwrap_or_else(default_rejection);
            let mut answer = Answer::text(rejection.status, &rejection.reason, false);
            if let Answer::Full { fields, .. } = &mut answer {
                *fields = format!("Refused-Because: {}\r\n", rejection.reason);
                if let Some(retry_after) = rejection_retry_after.filter(|_| rejection.retry) {
                    *fields += &format!("Retry-After: {:.3}\r\n", retry_after.as_secs_f64());
                }
            }
            answer
        }
        ResponseOutcome::Failed => Answer::text(502, "failed", false),
    }
}
