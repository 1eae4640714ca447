//! Helpers shared by the tests of this package.
#![allow(dead_code, missing_docs)]

use shorepath_placements::hash_chain::{self, Piece, Point};
use shorepath_placements::{End, Entry, Placement, Timed, Writer};

pub fn writer(site: &str, log: u64) -> Writer {
    Writer { site: site.into(), node: format!("{site}-1"), log }
}

pub fn placement(key: u64, guarded: bool) -> Placement {
    Placement {
        key: Some(format!("k{key}")),
        class: if guarded { "valve" } else { "free" }.into(),
        guarded,
        tenant: Some("t1".into()),
        server: format!("s{}", key % 5),
        standing: 1,
        taken: 0,
        on_credit: false,
        list: 3,
        fence: u64::from(guarded),
    }
}

pub fn placed(at: i64, placement: Placement) -> Timed {
    let placement = Placement { taken: at, ..placement };
    Timed { at, entry: Entry::Placed(placement) }
}

pub fn ended(at: i64, of: u64, how: End) -> Timed {
    Timed { at, entry: Entry::Ended { of, how } }
}

/// Returns entries that alternate between a placement and its end; different salts yield different entries.
pub fn entries(count: u64, salt: u64) -> Vec<Timed> {
    let entry = |n: u64| match n % 2 {
        1 => placed(n as i64, placement(salt * 1_000_000 + n, n.is_multiple_of(3))),
        _ => ended(n as i64, n - 1, End::Served),
    };
    (1..=count).map(entry).collect()
}

/// Encodes entries as a piece that follows the given point.
pub fn piece(writer: &Writer, (after, before): Point, entries: &[Timed]) -> Piece {
    let entries: Vec<Vec<u8>> = entries.iter().map(|t| hash_chain::encode(t).unwrap()).collect();
    let head = entries.iter().fold(before, |d, e| hash_chain::next_digest(&d, e));
    Piece { writer: writer.clone(), after, before, entries, head }
}

/// Encodes a log as consecutive pieces of `size` entries.
pub fn pieces(writer: &Writer, all: &[Timed], size: usize) -> Vec<Piece> {
    let mut at = hash_chain::origin(writer);
    let mut pieces = Vec::new();
    for chunk in all.chunks(size) {
        let piece = piece(writer, at, chunk);
        at = piece.last();
        pieces.push(piece);
    }
    pieces
}
