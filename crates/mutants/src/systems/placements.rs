//! Three nodes write down what they place where, and give each other what the other lacks.
//!
//! The first restarts with an older disk, hears that others know more of its log, and founds another. What need not be guarded it places before
//! that; it is held until it is known which log goes on.

use crate::change::Form;
use crate::core::{Actor, Broken};
use crate::troupe::{Deed, Part, Script};
use crate::Micros;
use shorepath_placements::anti_entropy::{Exchange, Message, MessageError, Settings};
use shorepath_placements::hash_chain::{encode, next_digest, origin, Piece, Point};
use shorepath_placements::history::{History, HistoryError};
use shorepath_placements::idempotency_index::{IdempotencyIndex, KeyState};
use shorepath_placements::log_recovery::{LogOutcome, LogRecovery, PlacementRef};
use shorepath_placements::{End, Entry, Placement, Timed, Writer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const NODES: usize = 3;
const TICK: Micros = 200 * MS;
/// Nothing is placed any more from then on.
const STOP: Micros = 5_300 * MS;
/// Partners are waited for so long before something is written.
const ASKING: Micros = 1_500 * MS;
const CLASS: &str = "valve";
const SETTINGS: Settings = Settings {
    bytes_per_second: 200_000,
    window_bytes: 16 << 10,
    resend_after: 500 * MS,
    full_summary_interval: 800 * MS,
    summary_delay: 100 * MS,
};

type Place = (Writer, u64);

/// A fault: a piece that comes once more counts once more.
pub const TWICE: u8 = 1;
/// A fault: what need not be guarded is written before partners were asked, and the ends of what was open.
pub const HASTY: u8 = 2;

/// One life of a node. `FAULT` is none, [`TWICE`] or [`HASTY`].
#[derive(Clone, Debug)]
pub struct Node<const FAULT: u8> {
    me: usize,
    life: u64,
    history: History,
    keys: IdempotencyIndex,
    exchanges: Vec<(Actor, Exchange)>,
    writer: Writer,
    head: Point,
    /// What is held until it is known which log goes on.
    beginning: LogRecovery,
    placed: u64,
    /// Placements of its own that have no end yet.
    open: VecDeque<(PlacementRef, Micros)>,
    next: Micros,
    /// Entries that it has counted.
    counted: u64,
    /// What it has known: the last entry of each line of a log.
    knew: BTreeSet<(Writer, Point)>,
    /// All that was written here, over all lives.
    written: BTreeMap<Place, Vec<u8>>,
    /// What was on its disk some time ago.
    older: Option<Box<Node<FAULT>>>,
    came: BTreeSet<(Actor, Vec<u8>)>,
    broken: Option<Broken>,
}

impl<const FAULT: u8> Node<FAULT> {
    fn breaks(&mut self, rule: &'static str, story: String) {
        self.broken.get_or_insert(Broken::new(rule, story));
    }

    fn wake(&mut self, me: usize, life: u64, now: Micros) {
        (self.me, self.life, self.next) = (me, life, now);
        let written = std::mem::take(&mut self.open).into_iter().filter_map(|(slot, _)| match slot {
            PlacementRef::Written(number) => Some(number),
            PlacementRef::Buffered(_) => None,
        });
        self.beginning = LogRecovery::new(now, ASKING, written);
        if FAULT == HASTY {
            let (mut beginning, verdict) = (self.beginning.clone(), LogOutcome::Continues(false));
            beginning.write_buffered(verdict, |timed| self.write(now, timed.entry));
            self.beginning = LogRecovery::new(now, ASKING, []);
        }
        let others = (0..NODES).filter(|o| *o != me);
        self.exchanges = others.map(|o| (o, Exchange::new(SETTINGS, life, now))).collect();
        self.came.clear();
    }

    fn write(&mut self, now: Micros, entry: Entry) -> Option<u64> {
        let bytes = encode(&Timed { at: now, entry: entry.clone() }).ok()?;
        let ((after, before), writer) = (self.head, self.writer.clone());
        self.head = (after + 1, next_digest(&before, &bytes));
        let piece = Piece { writer, after, before, entries: vec![bytes.clone()], head: self.head.1 };
        self.written.insert((self.writer.clone(), self.head.0), bytes);
        match self.history.insert(&piece) {
            Ok(new) => self.counted += new,
            Err(e) => self.breaks("one's own log goes on", e.to_string()),
        }
        self.keys.apply_entry(&self.writer, self.head.0, &entry);
        self.exchanges.iter_mut().for_each(|(_, e)| e.note_update(&self.writer));
        self.look();
        Some(self.head.0)
    }

    /// Whether partners were asked; another log is founded where they know more of this one.
    fn ask(&mut self, now: Micros) {
        let exchanges = self.exchanges.iter().map(|(_, e)| e);
        let verdict = self.beginning.decide(exchanges, &self.history, &self.writer, self.head, now);
        let Some(verdict) = verdict else { return };
        if let LogOutcome::Replaced(_) = verdict {
            self.writer.log = self.life << 32 | self.me as u64;
            self.head = origin(&self.writer);
            self.open.retain(|(slot, _)| matches!(slot, PlacementRef::Buffered(_)));
        }
        let mut beginning = self.beginning.clone();
        let numbers = beginning.write_buffered(verdict, |timed| self.write(now, timed.entry));
        self.beginning = beginning;
        for (slot, at) in std::mem::take(&mut self.open) {
            match slot {
                PlacementRef::Buffered(ticket) => match numbers.get(&ticket) {
                    Some(number) => self.open.push_back((PlacementRef::Written(*number), at)),
                    None => self.breaks("what was held is written", format!("ticket {ticket}")),
                },
                PlacementRef::Written(_) => self.open.push_back((slot, at)),
            }
        }
    }

    fn place(&mut self, now: Micros) {
        while let Some((slot, _)) = self.open.front().copied().filter(|(_, at)| now - at > 400 * MS) {
            self.open.pop_front();
            let how = |n: u64| [End::Served, End::NeverRan, End::Unknown][(n % 3) as usize];
            match slot {
                PlacementRef::Buffered(ticket) => self.beginning.buffer_end(ticket, now, how(ticket)),
                PlacementRef::Written(of) => drop(self.write(now, Entry::Ended { of, how: how(of) })),
            }
        }
        self.placed += 1;
        let key = format!("k{}", self.placed / 2 % 6 + self.me as u64 * 3);
        let guarded = self.placed.is_multiple_of(2);
        let barred =
            guarded && (!self.beginning.peers_answered() || self.keys.state(CLASS, &key) != KeyState::Free);
        if now >= STOP || barred {
            return;
        }
        let class = if guarded { CLASS } else { "free" }.to_string();
        let (server, fence, key) = ("s1".to_string(), u64::from(guarded), Some(key));
        let (tenant, standing, on_credit, list, taken) = (None, 1, false, 1, now);
        let placement =
            Placement { key, class, guarded, tenant, server, standing, taken, on_credit, list, fence };
        let entry = Entry::Placed(placement);
        let slot = match self.beginning.is_buffering() && FAULT != HASTY {
            true => self.beginning.buffer_placement(Timed { at: now, entry }),
            false => self.write(now, entry).map(PlacementRef::Written),
        };
        self.open.extend(slot.map(|slot| (slot, now)));
    }

    /// Look at what is known now, each entry and key by itself.
    fn look(&mut self) {
        if let Some((writer, point)) = self.knew.iter().find(|(w, p)| !self.history.knows(w, p)) {
            let story = format!("{} knew {point:?} of {writer:?}", self.me);
            return self.breaks("nothing is lost", story);
        }
        self.knew.clear();
        let writers: Vec<Writer> = self.history.writers().cloned().collect();
        let (mut open, mut count) = (BTreeMap::new(), 0);
        for writer in writers {
            let heads = self.history.heads(&writer);
            for number in 1..=heads.iter().map(|p| p.0).max().unwrap_or(0) {
                count += 1;
                match self.history.entry(&writer, number).map(|t| t.entry) {
                    Some(Entry::Placed(p)) if p.guarded => drop(open.insert((writer.clone(), number), p.key)),
                    Some(Entry::Ended { of, how: End::NeverRan }) => drop(open.remove(&(writer.clone(), of))),
                    _ => {}
                }
            }
            self.knew.extend(heads.into_iter().map(|p| (writer.clone(), p)));
        }
        let free = |key: &&String| self.keys.state(CLASS, key) == KeyState::Free;
        if let Some(key) = open.values().flatten().find(free) {
            let story = format!("{} takes {key} for free", self.me);
            return self.breaks("a placed key is not free", story);
        }
        if !self.history.forks().is_empty() {
            let story = format!("{}: {:?}", self.me, self.history.forks());
            return self.breaks("one line of each log", story);
        }
        if self.counted != count {
            let story = format!("{} counts {} entries of {count}", self.me, self.counted);
            self.breaks("each entry counts once", story);
        }
    }
}

impl<const FAULT: u8> Part for Node<FAULT> {
    fn hear(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        let why = |e: &MessageError| match e {
            MessageError::Unreadable => "no word",
            MessageError::Changed | MessageError::History(HistoryError::Changed { .. }) => {
                "not what its digest says"
            }
            MessageError::History(HistoryError::Diverged { .. }) => "astray",
            MessageError::History(HistoryError::Entry { .. }) => "no entry",
            MessageError::History(_) => "not to be taken",
        };
        let word = Message::decode(bytes).map_err(|e| why(&e).to_string())?;
        if let (true, Message::Piece { piece }) = (FAULT == TWICE, &word) {
            if !self.came.insert((from, bytes.to_vec())) {
                self.counted += piece.entries.len() as u64;
                self.look();
            }
        }
        let Some((_, exchange)) = self.exchanges.iter_mut().find(|(o, _)| *o == from) else {
            return Err("nobody's".into());
        };
        let heard = exchange.receive(&mut self.history, word, now).map_err(|e| why(&e).to_string())?;
        self.counted += heard.new;
        for piece in &heard.pieces {
            for (number, bytes) in (piece.after + 1..).zip(&piece.entries) {
                if let Ok(timed) = shorepath_placements::hash_chain::decode(number, bytes) {
                    self.keys.apply_entry(&piece.writer, number, &timed.entry);
                }
            }
            let others = self.exchanges.iter_mut().filter(|(o, _)| *o != from);
            others.for_each(|(_, e)| e.note_update(&piece.writer));
        }
        if heard.new > 0 || heard.sealed.is_some() {
            self.look();
        }
        Ok(())
    }

    fn pass(&mut self, now: Micros) {
        if now >= self.next {
            self.next = now + TICK;
            self.ask(now);
            self.place(now);
        }
        for (o, exchange) in &mut self.exchanges {
            exchange.poll(&self.history, now, (now as u64 ^ (*o as u64) << 20).wrapping_mul(0x9e37_79b9));
        }
    }

    fn due(&self) -> Option<Micros> {
        self.exchanges.iter().map(|(_, e)| e.due()).chain([self.next]).min()
    }

    fn says(&mut self) -> Vec<(Actor, Vec<u8>)> {
        let all = self.exchanges.iter_mut();
        all.flat_map(|(o, e)| e.take_outgoing().into_iter().map(|w| (*o, w.encode()))).collect()
    }

    fn does(&mut self, _: Micros, _: u32) {
        self.older = Some(Box::new(Node { older: None, ..self.clone() }));
    }

    fn copy(&self) -> Option<Self> {
        Some(self.clone())
    }
}

/// See [`crate::systems::placements`].
#[derive(Debug)]
pub struct Placements<const FAULT: u8 = 0>;

impl<const FAULT: u8> Script for Placements<FAULT> {
    type Part = Node<FAULT>;
    const NAME: &'static str = "placements";
    const FORM: Form = Form::Binary;
    const LENGTH: Micros = 7_500 * MS;
    const LATE: [Micros; 3] = [200 * MS, S, 3 * S];
    const SETTLES: Micros = 2 * S;
    const FORKS: bool = true;
    const ACTORS: usize = NODES;

    fn start(seed: u64, me: Actor, life: u64, now: Micros) -> Self::Part {
        let writer = Writer { site: format!("s{me}"), node: format!("n{me}"), log: seed << 8 | me as u64 };
        let mut node = Node {
            me,
            life,
            history: History::new(),
            keys: IdempotencyIndex::default(),
            exchanges: Vec::new(),
            head: origin(&writer),
            writer,
            beginning: LogRecovery::new(now, ASKING, []),
            placed: seed,
            open: VecDeque::new(),
            next: now,
            counted: 0,
            knew: BTreeSet::new(),
            written: BTreeMap::new(),
            older: None,
            came: BTreeSet::new(),
            broken: None,
        };
        node.wake(me, Self::name(life), now);
        node
    }

    fn again(seed: u64, me: Actor, life: u64, now: Micros, last: Option<Self::Part>) -> Self::Part {
        let Some(mut last) = last else { return Self::start(seed, me, life, now) };
        let Some(mut node) = last.older.take() else { return Self::start(seed, me, life, now) };
        (node.written, node.broken) = (last.written, last.broken);
        node.wake(me, Self::name(life), now);
        *node
    }

    fn name(life: u64) -> u64 {
        life * 1_000_000
    }

    fn deeds(seed: u64) -> Vec<(Micros, Deed)> {
        let late = (seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20) as Micros % 300 * MS;
        vec![
            (1_500 * MS + late, Deed::Do(0, 0)),
            (3 * S + late, Deed::Kill(0)),
            (3_300 * MS + late, Deed::Start(0)),
        ]
    }

    fn invariants(parts: &[Option<Self::Part>], _: Micros) -> Result<(), Broken> {
        parts.iter().flatten().find_map(|n| n.broken.clone()).map_or(Ok(()), Err)
    }

    fn settled(parts: &[Option<Self::Part>], _: Micros) -> Result<(), Broken> {
        let nodes: Vec<&Self::Part> = parts.iter().flatten().collect();
        let written: BTreeMap<&Place, &Vec<u8>> = nodes.iter().flat_map(|n| &n.written).collect();
        for node in &nodes {
            let bytes = node.history.canonical_bytes();
            if nodes.len() < NODES || nodes.iter().any(|n| n.history.canonical_bytes() != bytes) {
                let held: Vec<_> = nodes.iter().map(|n| n.history.entries_and_bytes()).collect();
                return Err(Broken::new("all histories are equal", format!("{held:?}")));
            }
            // One that has founded its log after all was placed has written nothing to it.
            let heads = node.history.heads(&node.writer);
            let asked = node.beginning.peers_answered();
            if !asked || (heads != [node.head] && node.head.0 > 0) {
                return Err(Broken::new(
                    "what was written is known",
                    format!("{} asked {asked}, {heads:?}, {:?}", node.me, node.head),
                ));
            }
            for (writer, last) in node.history.latest_points() {
                for number in 1..=last.0 {
                    let bytes = node.history.entry(&writer, number).and_then(|t| encode(&t).ok());
                    if bytes.as_ref() != written.get(&(writer.clone(), number)).copied() {
                        let story = format!("entry {number} of {writer:?}");
                        return Err(Broken::new("only what was written is known", story));
                    }
                }
            }
        }
        Ok(())
    }
}
