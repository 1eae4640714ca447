//! Requests of clients: from HTTP fields to what the decisions need, and from outcomes to answers.

use super::ids::Claim;
use super::Frontend;
use crate::net::codec::{Answer, Request};
use crate::net::exchange::{Ask, ResponseOutcome};
use crate::net::sites::Rejection;
use crate::net::Job;
use shorepath_scheduler::{Micros, WorkState};
use std::time::Duration;
use tracing::warn;

/// One that was barred for want of confirmation may ask again after this, which links usually take to come back.
const REJECTION_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Frontend {
    pub(super) fn health(&self, request: &Request) -> Answer {
        let avoids = self.state.borrow().avoids();
        let (status, text) = avoids.map_or((200, "ok"), |why| (503, why));
        match request.method.as_str() {
            "GET" => Answer::text(status, text, false),
            "HEAD" => head_only(Answer::text(status, text, false)),
            _ => Answer::not_allowed("GET, HEAD", false),
        }
    }

    /// The job that a request hands in, or why it is none. That ends the connection, which guards
    /// against clients that send such requests by hundreds: each has one of them answered.
    pub(super) fn job(&self, request: Request) -> Result<(Ask, Job), Answer> {
        let malformed = |reason: &str| Answer::text(400, reason, true);
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let name = path.strip_prefix('/').map(|p| p.split('/').next().unwrap_or(p));
        let class = name.and_then(|n| self.exchange.class(n));
        let Some(class) = class else { return Err(Answer::text(404, "no such class", true)) };
        if request.method != "POST" {
            return Err(Answer::not_allowed("POST", true));
        }
        let field = |name: &str| match request.fields.get(name) {
            Ok(value) => Ok(value.filter(|v| !v.is_empty())),
            Err(e) => Err(malformed(&e.to_string())),
        };
        let id = field("request-id")?.ok_or_else(|| malformed("no Request-Id"))?.to_string();
        let timeout = field("request-timeout")?.ok_or_else(|| malformed("no Request-Timeout"))?;
        let timeout = parse_timeout(timeout).ok_or_else(|| malformed("Request-Timeout is no time"))?;
        let most = self.state.borrow().stopping.and_then(|s| s.timeout(request.arrived));
        let timeout = most.map_or(timeout, |most| timeout.min(most));
        let tenant = field("tenant")?.map(str::to_string);
        let number = tenant.as_deref().and_then(|t| self.exchange.tenant(t));
        if self.exchange.has_tenants() && number.is_none() {
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
        // Guards against losing a request for a guess: one that makes no sense is none.
        let guess = field("work-hint")?;
        let hint = guess.and_then(work);
        if let (Some(text), None) = (guess, hint) {
            warn!("Work-Hint is no time in microseconds: '{text}'");
        }
        let slots = figure(field("request-info")?.unwrap_or(""), "slots").unwrap_or(1.0);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let key = pairs.filter(|(name, _)| *name == "obj").map(|(_, value)| value.to_string()).next();
        let ask = Ask {
            class,
            tenant: number,
            key,
            arrived: request.arrived,
            timeout,
            hint,
            slots: slots.clamp(1.0, 1e6) as u32,
            repeat: field("client-retry")? == Some("1"),
            entry: WorkState::New,
            guest: false,
        };
        let host = field("host")?.unwrap_or("").to_string();
        let id = Claim::on(id, &self.ids).ok_or_else(|| Answer::text(409, "Request-Id is in use", true))?;
        Ok((ask, Job { host, id, tenant, home_site, repeat_key, target: request.target, body: request.body }))
    }
}

/// The time that a client waits: a number with its unit.
pub(super) fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: f64 = number.parse().ok().filter(|n: &f64| n.is_finite() && *n > 0.0)?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    // An hour is longer than anything that is waited for.
    Some(Duration::from_secs_f64(seconds.min(3600.0)))
}

/// A guess at the work of a job, in microseconds; `None` where it can't be one.
pub(super) fn work(text: &str) -> Option<Micros> {
    // As long as the longest time that a client waits.
    let guess = text.parse().ok().filter(|n: &f64| *n > 0.0 && *n <= 3.6e9);
    guess.map(|n| n.max(1.0) as Micros)
}

/// One of the figures `name=value,name=value`.
pub(super) fn figure(text: &str, name: &str) -> Option<f64> {
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

pub(super) fn last_if(mut answer: Answer, last: bool) -> Answer {
    if let Answer::Full { close, .. } = &mut answer {
        *close |= last;
    }
    answer
}

/// The words of HTTP for a final answer; `tells` is one more field of it, with a time. Whoever says how long to stay away, it is what
/// the settings allow to advise.
pub(super) fn answer_to(
    outcome: ResponseOutcome,
    rejection: Option<Rejection>,
    notifies: Option<(&str, Duration)>,
    advice: impl Fn(Duration) -> Option<Duration>,
) -> Answer {
    let mut answer = answer_text(outcome, rejection, advice(REJECTION_RETRY_AFTER));
    let notifies = notifies.and_then(|(name, time)| match name {
        "Retry-After" => Some((name, advice(time)?)),
        _ => Some((name, time)),
    });
    if let (Answer::Full { fields, .. }, Some((name, time))) = (&mut answer, notifies) {
        *fields += &format!("{name}: {:.3}\r\n", time.as_secs_f64());
    }
    answer
}

pub(super) fn answer_text(
    outcome: ResponseOutcome,
    rejection: Option<Rejection>,
    again: Option<Duration>,
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
            let unknown = || Rejection { status: 403, why: "not taken here".to_string(), retry: false };
            let rejection = rejection.unwrap_or_else(unknown);
            let mut answer = Answer::text(rejection.status, &rejection.why, false);
            if let Answer::Full { fields, .. } = &mut answer {
                *fields = format!("Refused-Because: {}\r\n", rejection.why);
                if let Some(again) = again.filter(|_| rejection.retry) {
                    *fields += &format!("Retry-After: {:.3}\r\n", again.as_secs_f64());
                }
            }
            answer
        }
        ResponseOutcome::Failed => Answer::text(502, "failed", false),
    }
}
