//! Tests of the parser of JSON objects that arrive in parts.

use serde_json::{json, Value};
use shorepath::net::objects::{JsonObjects, ObjectError};
use shorepath::net::pool::Pool;
use std::rc::Rc;

fn new_parser(max_bytes: usize) -> JsonObjects {
    JsonObjects::new(&Rc::new(Pool::new(1 << 20)), max_bytes)
}

fn push_and_read(parser: &mut JsonObjects, part: &[u8]) -> Vec<Value> {
    parser.push(part).unwrap();
    std::iter::from_fn(|| parser.next_object().unwrap()).collect()
}

/// Covers objects on one line and indented ones, with heartbeats between them, split at every byte.
#[test]
fn objects_are_read_wherever_the_body_is_split() {
    let object = json!({"a": "\\\"}{ æ \u{1}", "b": [true, null, -1.5e3], "c": {"d": []}});
    let text = format!("\n{object}\n\n{object:#}{object:#}\r\n");
    for at in 0..text.len() {
        for size in [1, 7, text.len()] {
            let mut parser = new_parser(1000);
            let (head, rest) = text.as_bytes().split_at(at);
            let mut read = push_and_read(&mut parser, head);
            read.extend(rest.chunks(size).flat_map(|part| push_and_read(&mut parser, part)));
            assert_eq!(
                (read, parser.is_at_boundary()),
                (vec![object.clone(); 3], true),
                "at {at}, by {size}"
            );
        }
    }
    let mut parser = new_parser(1000);
    assert_eq!(push_and_read(&mut parser, b"{\"a\":1}").len(), 1, "an object needs no line end");
    assert!(push_and_read(&mut parser, b" {\"a\"").is_empty() && !parser.is_at_boundary());
}

/// Guards against malformed text that is reported late or at the wrong place, and against objects that exceed the size limit.
#[test]
fn malformed_and_too_long_objects_fail_with_their_position() {
    for (valid, malformed, position) in
        [("{}\n{\n}\n", "{]", 9), ("", "nonsense", 2), ("{}", "{\"a\": x,", 9)]
    {
        let mut parser = new_parser(1000);
        push_and_read(&mut parser, valid.as_bytes());
        parser.push(malformed.as_bytes()).unwrap();
        let error = parser.next_object::<Value>().unwrap_err();
        assert!(
            matches!(error, ObjectError::Malformed { byte, .. } if byte == position),
            "{malformed}: {error}"
        );
    }
    let mut parser = new_parser(1000);
    push_and_read(&mut parser, b"{}\n[");
    let error = (0..2000).find_map(|_| parser.push(b"0,").and_then(|()| parser.next_object::<Value>()).err());
    assert!(matches!(error, Some(ObjectError::TooLong(2))), "{error:?}");
}
