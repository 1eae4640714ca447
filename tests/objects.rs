//! JSON objects in a body that comes in parts.

use serde_json::{json, Value};
use shorepath::net::objects::{ObjectError, Objects};
use shorepath::net::pool::Pool;
use std::rc::Rc;

fn objects(longest: usize) -> Objects {
    Objects::new(&Rc::new(Pool::new(1 << 20)), longest)
}

fn all(objects: &mut Objects, part: &[u8]) -> Vec<Value> {
    objects.add(part).unwrap();
    std::iter::from_fn(|| objects.whole().unwrap()).collect()
}

/// Objects on lines and indented ones, with heartbeats between, cut in two or three at every byte.
#[test]
fn objects_are_read_wherever_they_are_cut() {
    let one = json!({"a": "\\\"}{ æ \u{1}", "b": [true, null, -1.5e3], "c": {"d": []}});
    let text = format!("\n{one}\n\n{one:#}{one:#}\r\n");
    for at in 0..text.len() {
        for size in [1, 7, text.len()] {
            let mut objects = objects(1000);
            let (head, rest) = text.as_bytes().split_at(at);
            let mut came = all(&mut objects, head);
            came.extend(rest.chunks(size).flat_map(|part| all(&mut objects, part)));
            assert_eq!((came, objects.is_between()), (vec![one.clone(); 3], true), "at {at}, by {size}");
        }
    }
    let mut objects = objects(1000);
    assert_eq!(all(&mut objects, b"{\"a\":1}").len(), 1, "no line end is waited for");
    assert!(all(&mut objects, b" {\"a\"").is_empty() && !objects.is_between());
}

/// What is broken is told with its place as soon as it shows, and what holds too much is no object.
#[test]
fn what_is_no_object_is_told_with_its_byte() {
    for (good, bad, at) in [("{}\n{\n}\n", "{]", 9), ("", "nonsense", 2), ("{}", "{\"a\": x,", 9)] {
        let mut objects = objects(1000);
        all(&mut objects, good.as_bytes());
        objects.add(bad.as_bytes()).unwrap();
        let notified = objects.whole::<Value>().unwrap_err();
        assert!(matches!(notified, ObjectError::Broken { byte, .. } if byte == at), "{bad}: {notified}");
    }
    let mut objects = objects(1000);
    all(&mut objects, b"{}\n[");
    let end = (0..2000).find_map(|_| objects.add(b"0,").and_then(|()| objects.whole::<Value>()).err());
    assert!(matches!(end, Some(ObjectError::TooLong(2))), "{end:?}");
}
