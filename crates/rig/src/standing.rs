//! What must hold of accounts and sites, by the history alone.
//!
//! Nobody can ask a node what it knew when. So the checkers work out what it *surely* knew, and what it surely could not have heard, from
//! what was done to processes and to words; where that is not sure, nothing is judged.

use crate::check::{struck, Violation};
use crate::histories::{self, Copied};
use crate::history::{At, Record, Repeat, What};
use crate::script::{Script, TENANTS};
use std::collections::{BTreeMap, BTreeSet};

/// What is asked of accounts and sites.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Siting {
    /// Sites.
    pub sites: u32,
    /// Nodes of each.
    pub nodes: u32,
    /// The account that has a credit; nobody else is refused where standing is not confirmed.
    pub account: String,
    /// Its credit in jobs, over all sites.
    pub credit: u64,
    /// A node that was handed a file goes by it within this.
    pub reads: At,
    /// A file comes over whole links within this, where half of the others at least know it. Each node tells one other, by chance, each
    /// 200 ms, and asks where it lacks something: with 6 nodes none of this fails once in 10 million times within 2 s.
    pub told: At,
    /// And where one other alone knows it, as after a cut: once in 10 thousand times within 5 s, so 8 s are taken.
    pub told_by_one: At,
    /// Standing that rests on words that are older than this is not confirmed, those of the way and of a slow machine counted in.
    pub confirm: At,
    /// And not before words have come for this long, less what a slow machine may make of it.
    pub settles: At,
    /// A refusal for an account's standing comes within this.
    pub refusal: At,
    /// What a node has on its disk is on the disk of another that it hears over whole links within this.
    pub copied: At,
    /// Keys that must not repeat have homes: clients ask for one at several nodes, and it still runs once.
    pub homes: bool,
}

impl Siting {
    /// What holds of nodes as this rig starts them.
    pub fn of(script: &Script) -> Siting {
        Siting {
            sites: script.sites,
            nodes: script.nodes / script.sites.max(1),
            account: TENANTS[0].to_string(),
            credit: crate::sites::CREDIT,
            reads: 1_000_000,
            told: 2_500_000,
            told_by_one: 8_000_000,
            confirm: 3_500_000,
            settles: 1_800_000,
            refusal: 1_000_000,
            copied: 2_500_000,
            homes: script.quota_servers > 0,
        }
    }

    pub(crate) fn all(&self) -> u32 {
        self.sites * self.nodes
    }

    pub(crate) fn site(&self, node: u32) -> u32 {
        node / self.nodes.max(1)
    }
}

/// From and until.
pub(crate) type Spell = (At, At);

/// Whether any of the spells has a moment of that span in it.
pub(crate) fn touches(spells: Option<&Vec<Spell>>, from: At, to: At) -> bool {
    spells.is_some_and(|all| all.iter().any(|s| s.0 <= to && s.1 >= from))
}

/// Spells that a record opens and another ends.
pub(crate) fn spells<K: Ord + Clone>(
    records: &[Record],
    of: impl Fn(&What) -> Vec<(K, bool)>,
) -> BTreeMap<K, Vec<Spell>> {
    let mut all: BTreeMap<K, Vec<Spell>> = BTreeMap::new();
    for r in records {
        for (key, open) in of(&r.what) {
            let own = all.entry(key).or_default();
            match own.last_mut().filter(|s| s.1 == At::MAX) {
                Some(last) if !open => last.1 = r.at,
                None if open => own.push((r.at, At::MAX)),
                _ => {}
            }
        }
    }
    all
}

/// A request, as far as its account goes.
#[derive(Clone, Debug, Default)]
struct Request {
    tenant: String,
    again: Option<u64>,
    guarded: bool,
    asked: Option<(At, u32)>,
    /// The first byte of its first dispatch.
    sent: Option<At>,
    begun: Vec<At>,
    barred: Option<(At, String)>,
}

fn requests(records: &[Record]) -> BTreeMap<u64, Request> {
    let mut all: BTreeMap<u64, Request> = BTreeMap::new();
    for r in records {
        match &r.what {
            What::Of { id, tenant, again, .. } => {
                let one = all.entry(*id).or_default();
                (one.tenant, one.again) = (tenant.clone(), *again);
            }
            What::Asked { id, node, repeat, .. } => {
                let one = all.entry(*id).or_default();
                (one.asked, one.guarded) = (Some((r.at, *node)), *repeat == Repeat::Never);
            }
            What::Arrived { id, sent, .. } => {
                let one = all.entry(*id).or_default();
                one.sent = Some(one.sent.map_or(*sent, |first| first.min(*sent)));
            }
            What::Begun { id, .. } => all.entry(*id).or_default().begun.push(r.at),
            What::Barred { id, why } => {
                all.entry(*id).or_default().barred = Some((r.at, why.clone()));
            }
            _ => {}
        }
    }
    all
}

/// The requests that it repeats, the last first.
fn earlier(all: &BTreeMap<u64, Request>, id: u64) -> impl Iterator<Item = (u64, &Request)> {
    let mut next = all.get(&id).and_then(|r| r.again);
    std::iter::from_fn(move || {
        let id = next?;
        let request = all.get(&id)?;
        // Nothing repeats what came after it.
        next = request.again.filter(|before| *before != id);
        Some((id, request))
    })
}

/// A file of accounts, as it was handed out.
#[derive(Clone, Debug)]
struct File {
    at: At,
    node: u32,
    number: u64,
    account: String,
    standing: String,
}

impl File {
    fn bars(&self) -> bool {
        self.standing == "closing" || self.standing == "closed"
    }
}

fn files(records: &[Record]) -> Vec<File> {
    let file = |r: &Record| match &r.what {
        What::Handed { node, number, account, standing } => Some(File {
            at: r.at,
            node: *node,
            number: *number,
            account: account.clone(),
            standing: standing.clone(),
        }),
        _ => None,
    };
    records.iter().filter_map(file).collect()
}

/// All that is wrong with accounts and sites.
pub fn check(records: &[Record], terms: &Siting) -> Vec<Violation> {
    let (all, files) = (requests(records), files(records));
    let mut found = refusals(records, terms, &all, &files);
    found.extend(guarded(records, terms, &all));
    found.extend(histories::check(records, terms));
    found
        .extend(files.iter().filter(|f| f.bars()).flat_map(|f| begun_after(records, terms, &all, &files, f)));
    found.extend(credit(records, terms, &all));
    found.extend(agreed(records, terms, &files));
    found
}

pub(crate) fn broken(rule: &'static str, at: At, id: Option<u64>, text: String) -> Violation {
    Violation { rule, at, text, request: id }
}

/// Why a request may be refused at a site whatever its account.
const OTHERWISE: [&str; 2] = ["site returning", "guest part used"];
/// And why one that must not repeat may.
const GUARDED: [&str; 4] = ["catching up", "placements can't be recorded", "served before", "may have run"];

/// And where keys have homes, by how it begins.
const HOMES: [&str; 3] = ["home s", "no lease of s", "home becomes s"];

/// Refusals have a reason, come at once, and break off nothing that runs.
fn refusals(
    records: &[Record],
    terms: &Siting,
    all: &BTreeMap<u64, Request>,
    files: &[File],
) -> Vec<Violation> {
    let (spells, mut found) = (struck(records), Vec::new());
    for (id, request) in all {
        let (Some((at, why)), Some((asked, node))) = (&request.barred, request.asked) else { continue };
        let named = |f: &&File| f.account == request.tenant && f.at <= *at && f.bars();
        let reason = if why.starts_with("account") {
            files.iter().any(|f| named(&f))
        } else if why.starts_with("standing") {
            request.tenant == terms.account
        } else {
            // Not for its account: of any tenant.
            let home = terms.homes && HOMES.iter().any(|h| why.starts_with(h));
            OTHERWISE.contains(&why.as_str())
                || (request.guarded && (home || GUARDED.contains(&why.as_str())))
        };
        if !reason {
            let text = format!("request {id} of {} at node {node}: {why}", request.tenant);
            found.push(broken("barred", *at, Some(*id), text));
        }
        if at - asked > terms.refusal && !touches(spells.get(&node), asked, *at) {
            let text = format!("request {id} at node {node} was refused after {} ms", (at - asked) / 1_000);
            found.push(broken("slow-refusal", *at, Some(*id), text));
        }
        let closed = files.iter().any(|f| named(&f) && f.standing == "closed");
        if request.sent.is_some() && !closed {
            let text =
                format!("request {id} at node {node} had been sent to a server, and was refused: {why}");
            found.push(broken("broken-off", *at, Some(*id), text));
        }
    }
    found
}

/// What must not repeat runs once over all sites, however often its client asked for it under one key. Where keys have homes clients ask
/// anew whatever became of it, so a first run of which the record may be lost with a disk proves nothing.
fn guarded(records: &[Record], terms: &Siting, all: &BTreeMap<u64, Request>) -> Vec<Violation> {
    let copied = Copied::of(records, terms);
    let mut runs: BTreeMap<u64, Vec<(At, u32)>> = BTreeMap::new();
    for (id, request) in all.iter().filter(|(_, r)| r.guarded) {
        let first = earlier(all, *id).last().map_or(*id, |(first, _)| first);
        let node = request.asked.map_or(0, |(_, node)| node);
        runs.entry(first).or_default().extend(request.begun.iter().map(|at| (*at, node)));
    }
    let mut found = Vec::new();
    for (id, mut begun) in runs {
        begun.sort_unstable();
        let Some(((last, _), before)) = begun.split_last() else { continue };
        if before.iter().any(|(at, node)| !terms.homes || copied.surely_kept(*node, *at)) {
            let count = begun.len();
            let text =
                format!("what request {id} asked for was begun {count} times over all sites: {begun:?}");
            found.push(broken("key-ran-twice", *last, Some(id), text));
        }
    }
    found
}

/// What surely knows a file, looked at so often.
pub(crate) const STEP: At = 50_000;

/// From when until when each node surely knew a file. It forgets what it has just learned when its process ends, and all with its disk.
fn known(records: &[Record], terms: &Siting, files: &[File], file: &File) -> BTreeMap<u32, Vec<Spell>> {
    let mut down = spells(records, |what| match what {
        What::Struck { node } | What::Ends { node } => vec![(*node, true)],
        What::Exited { node, .. } => vec![(*node, true)],
        What::Serves { node } => vec![(*node, false)],
        _ => Vec::new(),
    });
    histories::starved(records, &mut down);
    let apart = spells(records, |what| match what {
        What::Apart { from, to, cut } => vec![((*from, *to), *cut)],
        _ => Vec::new(),
    });
    let rough = spells(records, |what| match what {
        What::Rough { site, rough } => vec![(*site, *rough)],
        _ => Vec::new(),
    });
    let whole = |a: u32, b: u32, from: At, to: At| {
        let (at, other) = (terms.site(a), terms.site(b));
        !touches(down.get(&a), from, to)
            && !touches(down.get(&b), from, to)
            && !touches(apart.get(&(at, other)), from, to)
            && !touches(apart.get(&(other, at)), from, to)
            && !touches(rough.get(&at), from, to)
            && !touches(rough.get(&other), from, to)
    };
    let handed = |node: u32, at: At| {
        let newer = |f: &File| f.node == node && f.at > file.at && f.at <= at;
        (node == file.node && !files.iter().any(newer)).then_some(file.at)
    };
    let gone = |r: &Record| match &r.what {
        What::Disk { node, disk } if disk != "kept" => Some((r.at, *node)),
        _ => None,
    };
    let lost: Vec<(At, u32)> = records.iter().filter_map(gone).collect();
    let last = records.last().map_or(0, |r| r.at);
    let mut since: BTreeMap<u32, At> = BTreeMap::new();
    let mut all: BTreeMap<u32, Vec<Spell>> = BTreeMap::new();
    let mut at = file.at;
    while at <= last {
        for node in 0..terms.all() {
            if lost.iter().any(|(when, n)| *n == node && *when > at - STEP && *when <= at) {
                since.remove(&node);
            }
            if touches(down.get(&node), at - STEP, at) {
                // What it has just learned may not be on its disk yet.
                if since.get(&node).is_some_and(|known| at - known < terms.reads) {
                    since.remove(&node);
                }
                continue;
            }
            let read = handed(node, at).is_some_and(|from| at - terms.reads >= from)
                && !touches(down.get(&node), at - terms.reads, at);
            let by = |span: At| {
                let tells = |(other, known): &(&u32, &At)| {
                    **known <= at - span && whole(node, **other, at - span, at)
                };
                since.iter().filter(|(other, _)| **other != node).filter(tells).count() as u32
            };
            let others = terms.all() - 1;
            if !since.contains_key(&node)
                && (read || by(terms.told) * 2 >= others || by(terms.told_by_one) > 0)
            {
                since.insert(node, at);
                all.entry(node).or_default().push((at, at));
            }
        }
        for node in since.keys() {
            all.entry(*node).or_default().iter_mut().last().into_iter().for_each(|s| s.1 = at);
        }
        at += STEP;
    }
    all
}

/// Nothing new of a closing account begins at a node that surely knows of it.
fn begun_after(
    records: &[Record],
    terms: &Siting,
    all: &BTreeMap<u64, Request>,
    files: &[File],
    file: &File,
) -> Vec<Violation> {
    let newer = files.iter().filter(|f| f.account == file.account && f.number > file.number);
    let until = newer.map(|f| f.at).min().unwrap_or(At::MAX);
    let knows = known(records, terms, files, file);
    let mut found = Vec::new();
    for (id, request) in all.iter().filter(|(_, r)| r.tenant == file.account) {
        let (Some((asked, node)), Some(sent)) = (request.asked, request.sent) else { continue };
        let knew = knows.get(&node).into_iter().flatten().any(|s| s.0 <= asked && sent < s.1);
        if knew && sent < until && is_new(all, *id, node) {
            let text = format!(
                "request {id} of {} was begun at node {node}, {:.1} s after file {} ({}) had been handed to node {}",
                file.account,
                (asked - file.at) as f64 / 1e6,
                file.number,
                file.standing,
                file.node
            );
            found.push(broken("new-of-closing", sent, Some(*id), text));
        }
    }
    found
}

/// It is no repeat of what that node may have taken, or of what another one has placed: it may know that by its history.
fn is_new(all: &BTreeMap<u64, Request>, id: u64, node: u32) -> bool {
    let taken = |r: &Request| r.asked.is_some_and(|(_, at)| at == node || r.sent.is_some());
    !earlier(all, id).any(|(_, r)| r.barred.is_none() && taken(r))
}

/// When each node's standing surely was not confirmed.
fn alone(records: &[Record], terms: &Siting) -> BTreeMap<u32, Vec<Spell>> {
    let apart = spells(records, |what| match what {
        What::Apart { from, to, cut } => vec![((*from, *to), *cut)],
        _ => Vec::new(),
    });
    // Silent: from a process's end, or its halt, until another was started or it goes on.
    let silent = spells(records, |what| match what {
        What::Struck { node } | What::Exited { node, .. } => vec![(*node, true)],
        What::Started { node } | What::Serves { node } => vec![(*node, false)],
        _ => Vec::new(),
    });
    let mut slow = BTreeMap::new();
    histories::starved(records, &mut slow);
    let first = records.iter().find_map(|r| matches!(r.what, What::Asked { .. }).then_some(r.at));
    let last = records.last().map_or(0, |r| r.at);
    let mut all: BTreeMap<u32, Vec<Spell>> = BTreeMap::new();
    for node in 0..terms.all() {
        let own = terms.site(node);
        let starts: Vec<At> = records
            .iter()
            .filter(|r| matches!(r.what, What::Started { node: n } if n == node))
            .map(|r| r.at)
            .collect();
        let (mut deaf, mut hears, mut is, mut unnoticed) = (None::<At>, None::<At>, false, false);
        let mut at = first.unwrap_or(last);
        while at <= last {
            let started = starts.iter().any(|s| *s > at - STEP && *s <= at);
            let heard = |site: &u32| {
                let speaks = |n: u32| !touches(silent.get(&n), at, at);
                let nodes = site * terms.nodes..(site + 1) * terms.nodes;
                *site == own || (!touches(apart.get(&(*site, own)), at, at) && nodes.into_iter().any(speaks))
            };
            let still = touches(silent.get(&node), at, at);
            if (0..terms.sites).filter(heard).count() as u32 * 2 > terms.sites {
                hears = if started { Some(at) } else { hears.or(Some(at)) };
                deaf = None;
            } else {
                deaf = deaf.or(Some(at));
                // Without a processor it hears late what was said long before.
                if !is && touches(slow.get(&node), at, at) {
                    deaf = Some(at);
                }
                // A shorter gap may go unnoticed.
                hears = hears.filter(|_| deaf.is_some_and(|since| at - since < terms.confirm));
            }
            let was = is;
            // One that stood still all the while has noticed nothing if words come again before it goes on; if they don't, it has to see
            // by its clock that what it knows is old before it begins anything.
            is &= !(unnoticed && deaf.is_none() && !started);
            unnoticed = still && (unnoticed || !is);
            is |= started || deaf.is_some_and(|since| at - since >= terms.confirm);
            is &= started || deaf.is_some() || hears.is_none_or(|since| at - since < terms.settles);
            let own = all.entry(node).or_default();
            match (was, is) {
                (false, true) => own.push((at, At::MAX)),
                (true, false) => own.iter_mut().last().into_iter().for_each(|s| s.1 = at),
                _ => {}
            }
            at += STEP;
        }
    }
    all
}

/// On unconfirmed standing a node begins no more than its part of the credit, over all of its processes; with an old disk so much
/// again, since that says what was spent when it was copied.
fn credit(records: &[Record], terms: &Siting, all: &BTreeMap<u64, Request>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (node, spells) in alone(records, terms) {
        let count = u64::from(terms.all());
        let part = terms.credit / count + u64::from(u64::from(node) < terms.credit % count);
        for (from, to) in spells {
            let old = |r: &&Record| {
                let back = matches!(&r.what, What::Disk { node: n, disk } if *n == node && disk == "old");
                back && (from..=to).contains(&r.at)
            };
            let refilled = records.iter().filter(old).count() as u64;
            let counts = |(id, r): &(&u64, &Request)| {
                let asked = r.asked.is_some_and(|(at, n)| n == node && (from..=to).contains(&at));
                let within = asked && r.sent.is_some_and(|at| at <= to) && !r.begun.is_empty();
                within && r.tenant == terms.account && is_new(all, **id, node)
            };
            let begun: Vec<(At, u64)> =
                all.iter().filter(counts).filter_map(|(id, r)| Some((r.sent?, *id))).collect();
            let most = part * (1 + refilled);
            if begun.len() as u64 > most {
                let text = format!(
                    "node {node} began {} jobs on unconfirmed standing from {:.3} s on, of {most}",
                    begun.len(),
                    from as f64 / 1e6
                );
                let at = begun.iter().max().map_or(from, |b| b.0);
                found.push(broken("credit", at, None, text));
            }
        }
    }
    found
}

/// Whether it is well that a node says so of a site, or of `standing`: words go both ways, and have for long enough. How far a site
/// has come in taking its load back is not judged here.
pub fn is_well(of: &str, seen: &str) -> bool {
    match of {
        "standing" => seen == "confirmed",
        home if home.starts_with("home ") => seen == "held",
        _ => ["Linked", "Returning", "WholeAgain"].contains(&seen),
    }
}

/// After all has settled all nodes say of each account what the last file does, see all sites linked, and are confirmed.
fn agreed(records: &[Record], terms: &Siting, files: &[File]) -> Vec<Violation> {
    let strict = |standing: &str| crate::script::STATUSES_BY_STRICTNESS.iter().position(|s| *s == standing);
    let mut found = Vec::new();
    let (mut said, mut spoke, mut held) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
    for r in records {
        match &r.what {
            What::Stands { node, account, standing } => {
                said.insert((account.clone(), *node), standing.clone());
            }
            What::Sees { node, of, seen } => {
                spoke.insert(*node);
                held.insert((*node, of.clone()));
                if !is_well(of, seen) {
                    let text = format!("node {node} says of {of}: {seen}, once all has settled");
                    found.push(broken("not-whole", r.at, None, text));
                }
            }
            _ => {}
        }
    }
    let last = records.last().map_or(0, |r| r.at);
    for node in (0..terms.all()).filter(|n| !spoke.contains(n)) {
        found.push(broken("not-whole", last, None, format!("node {node} says nothing once all has settled")));
    }
    let newest = files.iter().map(|f| f.number).max().unwrap_or(0);
    let accounts: BTreeSet<&String> = files.iter().map(|f| &f.account).collect();
    for node in spoke.iter().filter(|_| terms.homes) {
        let home = format!("home s{}/n{node}", terms.site(*node));
        if !held.contains(&(*node, home.clone())) {
            let text = format!("node {node} does not hold {home}, once all has settled");
            found.push(broken("not-whole", last, None, text));
        }
    }
    for account in accounts {
        let of = || files.iter().filter(|f| f.account == *account);
        let unnamed = if of().any(File::bars) { "reopened" } else { "good" };
        let named = of().filter(|f| f.number == newest).map(|f| f.standing.as_str());
        let wanted = named.max_by_key(|s| strict(s)).unwrap_or(unnamed);
        for node in spoke.iter() {
            let says = said.get(&(account.clone(), *node)).map_or("nothing", String::as_str);
            if says != wanted {
                let text = format!("node {node} says that {account} is {says}; file {newest}: {wanted}");
                found.push(broken("differs", last, None, text));
            }
        }
    }
    found
}
