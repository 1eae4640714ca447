//! The `budgets` command: queries the quota servers of a fleet and prints how the quotas are divided.

use bpaf::Bpaf;
use serde_json::{json, Value};
use shorepath_quota::config;
use shorepath_quota::messages::{BudgetStatus, PartStatus, Status};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// Timeout of connecting to a quota server and of each read from it.
const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: u32 = 16 * 1024 * 1024;

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Query {
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

/// Fetches the status of one quota server. Request and response are JSON after a 4-byte big-endian length.
fn fetch_status(address: SocketAddr) -> io::Result<Status> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let request = json!("Status").to_string();
    stream.write_all(&(request.len() as u32).to_be_bytes())?;
    stream.write_all(request.as_bytes())?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length);
    if length > MAX_RESPONSE_BYTES {
        return Err(io::Error::other("the response is too long"));
    }
    let mut response = vec![0; length as usize];
    stream.read_exact(&mut response)?;
    let mut response: Value = serde_json::from_slice(&response)?;
    Ok(serde_json::from_value(response["Status"].take())?)
}

/// Returns the status of the leading quota server, or of any that responds if none of them leads.
fn fleet_status(target: &Target) -> Result<Status, String> {
    let path = target.budgets.display();
    let text = std::fs::read_to_string(&target.budgets).map_err(|e| format!("{path}: {e}"))?;
    let plan = config::read(&path.to_string(), &text).map_err(|e| e.to_string())?;
    let (mut fallback, mut error) = (None, "the file lists no quota server".to_string());
    for allocator in &plan.allocators {
        match fetch_status(allocator.address) {
            Ok(status) if status.leader.as_ref() == Some(&status.allocator) => return Ok(status),
            Ok(status) => fallback = fallback.or(Some(status)),
            Err(e) => {
                error = format!("no quota server responds; {} at {}: {e}", allocator.name, allocator.address)
            }
        }
    }
    fallback.ok_or(error)
}

fn format_seconds(micros: i64) -> String {
    format!("{:.1} s", micros as f64 / 1e6)
}

fn status_table(status: &Status) -> String {
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
        let amounts = [b.total, b.granted, b.used, b.surplus, b.withheld, b.reserved, b.free, b.debt];
        std::iter::once(b.name.clone()).chain(amounts.map(|f| f.to_string())).collect::<Vec<_>>()
    };
    let rows: Vec<Vec<String>> =
        std::iter::once(head.map(str::to_string).to_vec()).chain(status.budgets.iter().map(cells)).collect();
    for row in &rows {
        out += &format!("{:<28}", row[0]);
        row[1..].iter().for_each(|cell| out += &format!("{cell:>10}"));
        out += "\n";
    }
    for (name, state, since) in &status.members {
        out += &format!("{name} {state} for {}\n", format_seconds(*since));
    }
    for (reason, count) in &status.refused {
        out += &format!("{count} dropped: {reason}\n");
    }
    out
}

/// Explains in one line why a node has its part of a quota.
fn explain(status: &Status, budget: &BudgetStatus, part: &PartStatus) -> String {
    let received = match part.received {
        Some(ago) => format!("heard of {} ago", format_seconds(ago)),
        None => "not heard of lately".into(),
    };
    let reason = if part.is_suspected {
        "held back until its grants have surely ended: it is not heard of".to_string()
    } else if part.amount >= part.demand && part.amount > 0 {
        format!("all that it asks for, {} of it lent", part.amount - part.demand)
    } else if budget.free > 0 {
        "less than it asks for, with some free: its next asking brings more".to_string()
    } else if budget.debt > 0 {
        "less than it asks for: the whole was lowered, and more is out than there is".to_string()
    } else if budget.withheld > 0 {
        format!("less than it asks for: {} are held back for lives that are not heard of", budget.withheld)
    } else if status.epoch.is_none() {
        "nothing yet: what an earlier fleet granted may still hold".to_string()
    } else {
        "less than it asks for: all is asked for, and each has its fair part".to_string()
    };
    format!(
        "{}/{:x}: {} of {} (grant {}), asks for {}, uses {}; {received}; {reason}",
        part.node, part.incarnation, part.amount, budget.name, part.number, part.demand, part.used
    )
}

/// Prints the response to a query on standard output.
///
/// # Errors
/// Fails if the budgets file can't be used, no quota server responds or the budget is unknown.
pub(crate) fn print_response(query: &Query) -> Result<(), Box<dyn std::error::Error>> {
    let mut out = io::stdout();
    // Write errors are ignored: a closed pipe must not end the program with a panic.
    match query {
        Query::Status { target, json } => {
            let status = fleet_status(target)?;
            let text = if *json { serde_json::to_string(&status)? + "\n" } else { status_table(&status) };
            let _ = out.write_all(text.as_bytes());
        }
        Query::Explain { target, budget, node } => {
            let status = fleet_status(target)?;
            let found = status.budgets.iter().find(|b| b.name == *budget);
            let known = || status.budgets.iter().map(|b| b.name.as_str()).collect::<Vec<_>>().join(", ");
            let budget_status =
                found.ok_or_else(|| format!("no budget {budget} is agreed on; known: {}", known()))?;
            let is_selected = |p: &&PartStatus| node.as_ref().is_none_or(|n| p.node == *n);
            let mut has_parts = false;
            for part in budget_status.parts.iter().filter(is_selected) {
                has_parts = true;
                let _ = writeln!(out, "{}", explain(&status, budget_status, part));
            }
            if !has_parts {
                let name = node.as_deref().unwrap_or("nobody");
                let _ = writeln!(out, "{name}: asks for nothing and has nothing of {budget} but its reserve");
            }
        }
    }
    Ok(())
}
