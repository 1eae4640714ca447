//! Mutations of a single message.

use crate::simulation::{Actor, MessageRecord};
use crate::Micros;
use serde_json::Value;

/// The encoding of a system's messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// JSON objects; holds the name of the field that carries the message type.
    Json(&'static str),
    /// A binary encoding without field names.
    Binary,
}

/// A replacement for a number in a JSON message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NumberMutation {
    /// 0.
    Zero,
    /// The number minus 1.
    Decrement,
    /// The number plus 1.
    Increment,
    /// `u64::MAX`.
    MaxUnsigned,
    /// `i64::MAX`.
    MaxSigned,
    /// `i64::MIN`.
    MinSigned,
}

impl NumberMutation {
    const ALL: [NumberMutation; 6] = [
        NumberMutation::Zero,
        NumberMutation::Decrement,
        NumberMutation::Increment,
        NumberMutation::MaxUnsigned,
        NumberMutation::MaxSigned,
        NumberMutation::MinSigned,
    ];

    fn replacement(self, original: &Value) -> Value {
        let shifted = |delta: i64| match (original.as_u64(), original.as_i64()) {
            (Some(n), _) if delta > 0 => n.wrapping_add(1).into(),
            (Some(n), _) if n > 0 => (n - 1).into(),
            (_, Some(n)) => n.wrapping_add(delta).into(),
            _ => Value::from(delta),
        };
        match self {
            NumberMutation::Zero => 0.into(),
            NumberMutation::Decrement => shifted(-1),
            NumberMutation::Increment => shifted(1),
            NumberMutation::MaxUnsigned => u64::MAX.into(),
            NumberMutation::MaxSigned => i64::MAX.into(),
            NumberMutation::MinSigned => i64::MIN.into(),
        }
    }
}

/// One mutation of one message. Positions in a JSON message are JSON pointers (RFC 6901).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The message is lost.
    Dropped,
    /// The message is delivered twice, the second copy with this additional delay.
    Duplicated(Micros),
    /// The message is delivered after the next message to the same receiver.
    AfterNextToReceiver,
    /// The message is delivered after the next message from the same sender to the same receiver.
    AfterNextOnLink,
    /// The message is delivered with this additional delay.
    Delayed(Micros),
    /// The message arrives from the address of another actor.
    SenderReplaced(Actor),
    /// After the message, this one is delivered: it was sent between the same two addresses when the sender or the receiver was an
    /// earlier incarnation.
    Replayed(Vec<u8>),
    /// The message is truncated to this number of bytes.
    Truncated(usize),
    /// The field or list element at this position is removed.
    Removed(String),
    /// The string or list at this position is emptied.
    Emptied(String),
    /// The number at this position is replaced.
    NumberReplaced(String, NumberMutation),
    /// The incarnation of the sender or receiver at this position is replaced by an earlier one.
    IncarnationReplaced(String, u64),
    /// A field that no receiver knows is added to the object at this position.
    FieldAdded(String),
    /// The message type is replaced by an unknown one.
    UnknownType,
    /// The byte at this index is combined with the mask by exclusive or.
    ByteFlipped(usize, u8),
}

impl Change {
    /// Returns the kind of mutation, as reports count it and the command line selects it.
    pub fn kind(&self) -> &'static str {
        match self {
            Change::Dropped => "dropped",
            Change::Duplicated(_) => "doubled",
            Change::AfterNextToReceiver => "late by one",
            Change::AfterNextOnLink => "swapped with the next",
            Change::Delayed(_) => "late by many",
            Change::SenderReplaced(_) => "sender changed",
            Change::Replayed(_) => "replayed from an earlier life",
            Change::Truncated(_) => "cut",
            Change::Removed(_) => "field missing",
            Change::Emptied(_) => "field empty",
            Change::NumberReplaced(_, NumberMutation::Zero) => "number 0",
            Change::NumberReplaced(_, NumberMutation::Decrement) => "number one less",
            Change::NumberReplaced(_, NumberMutation::Increment) => "number one more",
            Change::NumberReplaced(..) => "number largest or least",
            Change::IncarnationReplaced(..) => "life an earlier one",
            Change::FieldAdded(_) => "unknown field",
            Change::UnknownType => "unknown word",
            Change::ByteFlipped(..) => "byte flipped",
        }
    }

    /// Returns whether an unreliable network can cause this change. Any other change takes somebody who forges messages, and message
    /// authentication rejects it before a core receives it.
    pub fn is_network(&self) -> bool {
        use Change::*;
        matches!(
            self,
            Dropped
                | Duplicated(_)
                | AfterNextToReceiver
                | AfterNextOnLink
                | Delayed(_)
                | Replayed(_)
                | Truncated(_)
        )
    }

    /// Returns the path of the changed field, joined by dots and without list indices; empty where no single field changes.
    pub fn field(&self) -> String {
        let (Change::Removed(at)
        | Change::Emptied(at)
        | Change::NumberReplaced(at, _)
        | Change::IncarnationReplaced(at, _)) = self
        else {
            return String::new();
        };
        at.split('/').filter(|p| !p.is_empty() && p.parse::<usize>().is_err()).collect::<Vec<_>>().join(".")
    }

    /// Returns the message with its content changed, or unchanged where the mutation only affects delivery.
    pub fn apply(&self, message: &[u8], encoding: Encoding) -> Vec<u8> {
        let edit_json = |edit: &dyn Fn(&mut Value)| {
            let mut value = serde_json::from_slice::<Value>(message).unwrap_or_default();
            edit(&mut value);
            value.to_string().into_bytes()
        };
        let replace = |at: &str, replacement: &dyn Fn(&Value) -> Value| {
            edit_json(&|v: &mut Value| {
                if let Some(target) = v.pointer_mut(at) {
                    *target = replacement(target);
                }
            })
        };
        match self {
            Change::Truncated(length) => message.get(..*length).unwrap_or(message).to_vec(),
            Change::ByteFlipped(at, mask) => {
                let mut bytes = message.to_vec();
                bytes.get_mut(*at).into_iter().for_each(|b| *b ^= mask);
                bytes
            }
            Change::Removed(at) => edit_json(&|v: &mut Value| {
                let Some((parent, key)) = at.rsplit_once('/') else { return };
                match v.pointer_mut(parent) {
                    Some(Value::Object(o)) => drop(o.remove(key)),
                    Some(Value::Array(a)) => {
                        let index = key.parse().ok().filter(|k| *k < a.len());
                        index.into_iter().for_each(|k: usize| drop(a.remove(k)));
                    }
                    _ => {}
                }
            }),
            Change::Emptied(at) => {
                replace(at, &|v| if v.is_string() { Value::from("") } else { Value::Array(Vec::new()) })
            }
            Change::NumberReplaced(at, mutation) => replace(at, &|v| mutation.replacement(v)),
            Change::IncarnationReplaced(at, incarnation) => replace(at, &|_| (*incarnation).into()),
            Change::FieldAdded(at) => edit_json(&|v: &mut Value| {
                if let Some(Value::Object(o)) = v.pointer_mut(at) {
                    o.insert("tide".into(), serde_json::json!({ "of": [1, "x", null] }));
                }
            }),
            Change::UnknownType => match encoding {
                Encoding::Json(tag) => replace(&format!("/{tag}"), &|_| "sings".into()),
                Encoding::Binary => vec![0xff; message.len().max(1)],
            },
            _ => message.to_vec(),
        }
    }
}

/// The maximum number of positions at which a binary message is truncated or a byte of it flipped.
const MAX_BYTE_POSITIONS: usize = 24;
/// The maximum number of messages of earlier incarnations that are replayed after one message.
const MAX_REPLAYS: usize = 3;

/// Returns all mutations of a message in a fixed order. `run_messages` holds all messages of its run, in the order of their ids; `delays`
/// are described at [`crate::simulation::System::DELAYS`].
pub fn all(
    message: &MessageRecord,
    run_messages: &[MessageRecord],
    encoding: Encoding,
    delays: [Micros; 3],
    actor_count: usize,
) -> Vec<Change> {
    let mut found =
        vec![Change::Dropped, Change::AfterNextToReceiver, Change::AfterNextOnLink, Change::UnknownType];
    found.extend(delays.map(Change::Delayed));
    found.extend([1, delays[0], delays[1]].map(Change::Duplicated));
    let (from, to) = (message.message.from, message.message.to);
    found.extend((0..actor_count).filter(|a| *a != from && *a != to).map(Change::SenderReplaced));
    let earlier: Vec<&MessageRecord> = run_messages
        .iter()
        .take(message.id)
        .filter(|m| {
            (m.message.from, m.message.to) == (from, to)
                && m.incarnations != message.incarnations
                && m.incarnations.0 != 0
        })
        .collect();
    let step = earlier.len().div_ceil(MAX_REPLAYS).max(1);
    let replayed = earlier.iter().rev().step_by(step);
    found.extend(replayed.map(|m| Change::Replayed(m.message.bytes.clone())));
    let length = message.message.bytes.len();
    let positions = |max: usize| (0..length).step_by(length.div_ceil(max).max(1));
    match encoding {
        Encoding::Json(_) => {
            found.extend([0, length / 2, length.saturating_sub(1)].map(Change::Truncated));
            let mut incarnations: Vec<u64> =
                earlier.iter().flat_map(|m| [m.incarnations.0, m.incarnations.1]).collect();
            incarnations.sort_unstable();
            incarnations.dedup();
            let value = serde_json::from_slice(&message.message.bytes).unwrap_or_default();
            add_json_changes(&value, String::new(), message.incarnations, &incarnations, &mut found);
        }
        Encoding::Binary => {
            found.extend(positions(MAX_BYTE_POSITIONS).map(Change::Truncated));
            found.extend(positions(MAX_BYTE_POSITIONS).map(|at| Change::ByteFlipped(at, 1 << (at % 8))));
            found.extend(positions(MAX_BYTE_POSITIONS).map(|at| Change::ByteFlipped(at, 0xff)));
        }
    }
    found
}

/// Adds the mutations of a JSON value and of all values in it. `current` are the incarnations of sender and receiver, `earlier` those
/// that preceded them.
fn add_json_changes(
    value: &Value,
    at: String,
    current: (u64, u64),
    earlier: &[u64],
    found: &mut Vec<Change>,
) {
    match value {
        Value::Object(fields) => {
            found.push(Change::FieldAdded(at.clone()));
            for (key, inner) in fields {
                let pointer = format!("{at}/{}", key.replace('~', "~0").replace('/', "~1"));
                found.push(Change::Removed(pointer.clone()));
                add_json_changes(inner, pointer, current, earlier, found);
            }
        }
        Value::Array(items) => {
            found.push(Change::Emptied(at.clone()));
            for (k, inner) in items.iter().enumerate() {
                found.push(Change::Removed(format!("{at}/{k}")));
                add_json_changes(inner, format!("{at}/{k}"), current, earlier, found);
            }
        }
        Value::String(_) => found.push(Change::Emptied(at)),
        Value::Number(n) => {
            found.extend(NumberMutation::ALL.map(|mutation| Change::NumberReplaced(at.clone(), mutation)));
            if n.as_u64().is_some_and(|n| n > 0 && (n == current.0 || n == current.1)) {
                let others = earlier.iter().filter(|i| Some(**i) != n.as_u64());
                found.extend(others.map(|i| Change::IncarnationReplaced(at.clone(), *i)));
            }
        }
        Value::Null | Value::Bool(_) => {}
    }
}
