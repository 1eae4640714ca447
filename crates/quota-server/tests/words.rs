//! Words that an earlier version of the program said, kept as they were heard: processes of both stand side by side during an upgrade.

use serde_json::{json, Value};
use shorepath_membership::{Membership, Peer};
use shorepath_quota::messages::Message;
use shorepath_quota_server::rpc::{Call, Reply};

const HEARD: &str = include_str!("words/04a2ff7.txt");

/// The lines of a kind.
fn received(kind: &str) -> Vec<&'static str> {
    let all = HEARD.lines().filter_map(|line| line.split_once(' ')).filter(|(k, _)| *k == kind);
    all.map(|(_, sent)| sent).collect()
}

/// Whether all that one value says the other says as well, by the same names: an older reader finds what it reads.
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

/// What a later version may add: a field in each object that has that one.
fn add(value: &mut Value, beside: &str) {
    match value {
        Value::Object(fields) => {
            fields.values_mut().for_each(|v| add(v, beside));
            if fields.contains_key(beside) {
                fields.insert("tide".into(), json!({"high": [1, "two"]}));
            }
        }
        Value::Array(all) => all.iter_mut().for_each(|v| add(v, beside)),
        _ => {}
    }
}

/// This version reads them, says all of it again by the same names, and passes over what it doesn't know.
#[test]
fn words_of_an_earlier_version_are_understood_and_said_as_it_reads_them() {
    type Again = fn(&str) -> Result<Value, serde_json::Error>;
    let again: [(&str, &str, Again); 3] = [
        ("word", "b", |text| serde_json::to_value(serde_json::from_str::<Message>(text)?)),
        ("call", "version", |text| serde_json::to_value(serde_json::from_str::<Call>(text)?)),
        ("reply", "version", |text| serde_json::to_value(serde_json::from_str::<Reply>(text)?)),
    ];
    for (kind, beside, again) in again {
        let all = received(kind);
        assert!(all.len() >= 5, "{kind}: {}", all.len());
        for text in all {
            let old: Value = serde_json::from_str(text).unwrap();
            let new = again(text).unwrap_or_else(|e| panic!("{e}: {text}"));
            assert!(covers(&old, &new), "{text}\nis said now as\n{new}");
            let mut more = old.clone();
            add(&mut more, beside);
            let passed = again(&more.to_string()).unwrap_or_else(|e| panic!("{e}: {more}"));
            assert_eq!(passed, new);
        }
    }
    // Every kind of word is among them but the two that carry nothing beyond a life, and all that dividers agree on.
    for seen in [
        "\"ask\"",
        "\"grants\"",
        "\"returns\"",
        "\"elsewhere\"",
        "\"Plan\"",
        "\"Open\"",
        "\"Settled\"",
        "\"base\"",
    ] {
        assert!(HEARD.contains(seen), "{seen} was never heard");
    }
}

/// And words of its membership.
#[test]
fn members_of_an_earlier_version_are_heard() {
    let bytes = |text: &str| -> Vec<u8> {
        (0..text.len()).step_by(2).map(|k| u8::from_str_radix(&text[k..k + 2], 16).unwrap()).collect()
    };
    let all = received("member");
    assert!(all.len() >= 4);
    for text in all {
        let datagram = bytes(text);
        assert_eq!(datagram[0], shorepath_quota_server::server::MEMBERS);
        let mut members = Membership::new(Peer { node: 1, incarnation: 1 }, vec![2, 3], 4, 0);
        members.receive(0, &datagram[1..]).unwrap_or_else(|e| panic!("{e}: {text}"));
    }
}
