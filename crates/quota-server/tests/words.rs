//! Compatibility with recorded messages of an earlier version, which runs beside this one during an upgrade.

use serde_json::{json, Value};
use shorepath_membership::{Membership, Peer};
use shorepath_quota::messages::Message;
use shorepath_quota_server::rpc::{Call, Reply};

const RECORDED: &str = include_str!("words/04a2ff7.txt");

/// Returns the recorded lines of one kind, without the kind.
fn recorded(kind: &str) -> Vec<&'static str> {
    let all = RECORDED.lines().filter_map(|line| line.split_once(' ')).filter(|(k, _)| *k == kind);
    all.map(|(_, text)| text).collect()
}

/// Returns whether the new value has all fields of the old one with the same values, as an older reader needs them.
fn covers(old: &Value, new: &Value) -> bool {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            old.iter().all(|(name, value)| new.get(name).is_some_and(|n| covers(value, n)))
        }
        (Value::Array(old), Value::Array(new)) => {
            old.len() == new.len() && old.iter().zip(new).all(|(o, n)| covers(o, n))
        }
        _ => old == new,
    }
}

/// Adds an unknown field, as a later version may, to each object that has the field `beside`.
fn add_unknown_field(value: &mut Value, beside: &str) {
    match value {
        Value::Object(fields) => {
            fields.values_mut().for_each(|v| add_unknown_field(v, beside));
            if fields.contains_key(beside) {
                fields.insert("tide".into(), json!({"high": [1, "two"]}));
            }
        }
        Value::Array(all) => all.iter_mut().for_each(|v| add_unknown_field(v, beside)),
        _ => {}
    }
}

/// Guards against renamed or missing fields, and against errors on unknown ones.
#[test]
fn messages_of_an_earlier_version_are_decoded_and_reencoded_compatibly() {
    type Reencode = fn(&str) -> Result<Value, serde_json::Error>;
    let reencode: [(&str, &str, Reencode); 3] = [
        ("word", "b", |text| serde_json::to_value(serde_json::from_str::<Message>(text)?)),
        ("call", "version", |text| serde_json::to_value(serde_json::from_str::<Call>(text)?)),
        ("reply", "version", |text| serde_json::to_value(serde_json::from_str::<Reply>(text)?)),
    ];
    for (kind, beside, reencode) in reencode {
        let all = recorded(kind);
        assert!(all.len() >= 5, "{kind}: {}", all.len());
        for text in all {
            let old: Value = serde_json::from_str(text).unwrap();
            let new = reencode(text).unwrap_or_else(|e| panic!("{e}: {text}"));
            assert!(covers(&old, &new), "{text}\nis now encoded as\n{new}");
            let mut extended = old.clone();
            add_unknown_field(&mut extended, beside);
            let reencoded = reencode(&extended.to_string()).unwrap_or_else(|e| panic!("{e}: {extended}"));
            assert_eq!(reencoded, new);
        }
    }
    // The recording has all kinds of log entries, and all kinds of messages except `goes` and `hurry`.
    for expected in [
        "\"ask\"",
        "\"grants\"",
        "\"returns\"",
        "\"elsewhere\"",
        "\"Plan\"",
        "\"Open\"",
        "\"Settled\"",
        "\"base\"",
    ] {
        assert!(RECORDED.contains(expected), "{expected} is not in the recording");
    }
}

/// Guards against changes of the membership protocol's encoding.
#[test]
fn membership_datagrams_of_an_earlier_version_are_decoded() {
    let bytes = |text: &str| -> Vec<u8> {
        (0..text.len()).step_by(2).map(|k| u8::from_str_radix(&text[k..k + 2], 16).unwrap()).collect()
    };
    let all = recorded("member");
    assert!(all.len() >= 4);
    for text in all {
        let datagram = bytes(text);
        assert_eq!(datagram[0], shorepath_quota_server::server::MEMBERSHIP_PREFIX);
        let mut members = Membership::new(Peer { node: 1, incarnation: 1 }, vec![2, 3], 4, 0);
        members.receive(0, &datagram[1..]).unwrap_or_else(|e| panic!("{e}: {text}"));
    }
}
