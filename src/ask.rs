//! What operators ask the dividers of a fleet: where budgets are, and why a node has what it has.

use bpaf::Bpaf;
use serde_json::{json, Value};
use shorepath_quota::config;
use shorepath_quota::messages::{BudgetStatus, PartStatus, Status};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// How long a divider may take.
const TIMEOUT: Duration = Duration::from_secs(2);
/// An answer holds this much at most, in bytes.
const LARGEST: u32 = 16 * 1024 * 1024;

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Question {
    /// Where all budgets are: whole, granted, used, lent and held back, by node
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        target: Target,
        /// Print JSON
        #[bpaf(long)]
        json: bool,
    },
    /// Why a node has what it has of a budget
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        target: Target,
        /// The budget
        #[bpaf(positional("BUDGET"))]
        budget: String,
        /// The node; all of them where it isn't given
        #[bpaf(positional("NODE"), optional)]
        node: Option<String>,
    },
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Target {
    /// The operator's file of budgets, which lists the dividers
    #[bpaf(long, argument("FILE"))]
    budgets: PathBuf,
}

/// One question, one answer, each a piece of JSON with its length before it.
fn call(address: SocketAddr) -> io::Result<Status> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let question = json!("Status").to_string();
    stream.write_all(&(question.len() as u32).to_be_bytes())?;
    stream.write_all(question.as_bytes())?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length);
    if length > LARGEST {
        return Err(io::Error::other("the answer is too long"));
    }
    let mut answer = vec![0; length as usize];
    stream.read_exact(&mut answer)?;
    let mut answer: Value = serde_json::from_slice(&answer)?;
    Ok(serde_json::from_value(answer["Status"].take())?)
}

/// The view of the divider that leads, or of any that answers where none does.
fn status(target: &Target) -> Result<Status, String> {
    let path = target.budgets.display();
    let text = std::fs::read_to_string(&target.budgets).map_err(|e| format!("{path}: {e}"))?;
    let plan = config::read(&path.to_string(), &text).map_err(|e| e.to_string())?;
    let (mut best, mut why) = (None, "the file lists no divider".to_string());
    for allocator in &plan.allocators {
        match call(allocator.address) {
            Ok(status) if status.leader.as_ref() == Some(&status.allocator) => return Ok(status),
            Ok(status) => best = best.or(Some(status)),
            Err(e) => why = format!("no divider answers; {} at {}: {e}", allocator.name, allocator.address),
        }
    }
    best.ok_or(why)
}

fn seconds(micros: i64) -> String {
    format!("{:.1} s", micros as f64 / 1e6)
}

fn table(status: &Status) -> String {
    let leader = status.leader.as_deref().unwrap_or("nobody");
    let fleet = match status.epoch {
        Some(epoch) => format!("fleet {epoch}"),
        None => "a fleet that was just founded, which grants nothing yet".into(),
    };
    let mut out =
        format!("{fleet}, file of version {}, {leader} divides; told by {}\n", status.plan, status.allocator);
    if status.leader.as_ref() != Some(&status.allocator) {
        out += "this divider does not lead: it knows no demands, and what is granted only late\n";
    }
    if !status.kept.is_empty() {
        out += &format!(
            "reserves are still kept by versions {:?}: not all nodes go by a newer one\n",
            status.kept
        );
    }
    let head = ["budget", "whole", "granted", "used", "lent", "in doubt", "reserved", "free", "debt"];
    let cells = |b: &BudgetStatus| {
        let figures = [b.total, b.granted, b.used, b.surplus, b.withheld, b.reserved, b.free, b.debt];
        std::iter::once(b.name.clone()).chain(figures.map(|f| f.to_string())).collect::<Vec<_>>()
    };
    let rows: Vec<Vec<String>> =
        std::iter::once(head.map(str::to_string).to_vec()).chain(status.budgets.iter().map(cells)).collect();
    for row in &rows {
        out += &format!("{:<28}", row[0]);
        row[1..].iter().for_each(|cell| out += &format!("{cell:>10}"));
        out += "\n";
    }
    for (name, standing, since) in &status.members {
        out += &format!("{name} {standing} for {}\n", seconds(*since));
    }
    for (why, count) in &status.refused {
        out += &format!("{count} dropped: {why}\n");
    }
    out
}

fn why(status: &Status, b: &BudgetStatus, p: &PartStatus) -> String {
    let received = match p.received {
        Some(ago) => format!("heard of {} ago", seconds(ago)),
        None => "not heard of lately".into(),
    };
    let reason = if p.is_suspected {
        "held back until its grants have surely ended: it is not heard of".to_string()
    } else if p.amount >= p.demand && p.amount > 0 {
        format!("all that it asks for, {} of it lent", p.amount - p.demand)
    } else if b.free > 0 {
        "less than it asks for, with some free: its next asking brings more".to_string()
    } else if b.debt > 0 {
        "less than it asks for: the whole was lowered, and more is out than there is".to_string()
    } else if b.withheld > 0 {
        format!("less than it asks for: {} are held back for lives that are not heard of", b.withheld)
    } else if status.epoch.is_none() {
        "nothing yet: what an earlier fleet granted may still hold".to_string()
    } else {
        "less than it asks for: all is asked for, and each has its fair part".to_string()
    };
    format!(
        "{}/{:x}: {} of {} (grant {}), asks for {}, uses {}; {received}; {reason}",
        p.node, p.incarnation, p.amount, b.name, p.number, p.demand, p.used
    )
}

/// Answer it on standard output.
pub(crate) fn answer(question: &Question) -> Result<(), Box<dyn std::error::Error>> {
    let mut out = io::stdout();
    // A reader that has left is no reason to panic.
    match question {
        Question::Status { target, json } => {
            let status = status(target)?;
            let text = if *json { serde_json::to_string(&status)? + "\n" } else { table(&status) };
            let _ = out.write_all(text.as_bytes());
        }
        Question::Explain { target, budget, node } => {
            let status = status(target)?;
            let found = status.budgets.iter().find(|b| b.name == *budget);
            let known = || status.budgets.iter().map(|b| b.name.as_str()).collect::<Vec<_>>().join(", ");
            let b = found.ok_or_else(|| format!("no budget {budget} is agreed on; known: {}", known()))?;
            let of = |p: &&PartStatus| node.as_ref().is_none_or(|n| p.node == *n);
            let mut any = false;
            for part in b.parts.iter().filter(of) {
                any = true;
                let _ = writeln!(out, "{}", why(&status, b, part));
            }
            if !any {
                let who = node.as_deref().unwrap_or("nobody");
                let _ = writeln!(out, "{who}: asks for nothing and has nothing of {budget} but its reserve");
            }
        }
    }
    Ok(())
}
