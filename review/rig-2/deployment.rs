//! A small deployment: one node, its discovery and four executors.

use crate::discovery::{Discovery, Member, Pace};
use crate::executor::{self, Attempts, Manner, Plan};
use crate::node::{free_address, wait_until_ready, Config, Folder, Node};
use crate::record::Record;

/// Number of executors.
pub const EXECUTORS: usize = 4;

/// The limits and settings of the node, and how the others behave.
pub struct Options {
    pub memory_mb: u32,
    pub sockets: u32,
    pub settings: String,
    pub plan: Plan,
    /// How each executor answers.
    pub manners: [Manner; EXECUTORS],
    pub pace: Pace,
}

/// A running deployment. All of it ends when this is dropped.
pub struct Deployment {
    // Dropped in this order: the node ends before its folder is removed.
    pub node: Node,
    pub config: Config,
    pub discovery: Discovery,
    pub attempts: Attempts,
    pub executors: Vec<executor::Executor>,
    _folder: Folder,
}

impl Deployment {
    /// Starts a deployment and waits until the node is ready. `change` may change discovery's list after the node's last list was
    /// taken from it.
    pub fn start(
        options: Options,
        record: &Record,
        change: impl FnOnce(&Discovery),
    ) -> std::io::Result<Deployment> {
        let folder = Folder::create()?;
        let attempts = Attempts::default();
        let mut executors = Vec::new();
        for (n, manner) in options.manners.into_iter().enumerate() {
            let name = format!("s-{n}");
            executors.push(executor::start(&name, record, &attempts, options.plan.clone(), manner)?);
        }
        let member =
            |e: &executor::Executor| Member { id: e.name.clone(), address: e.address, phase: "active" };
        let discovery = Discovery::start(executors.iter().map(member).collect(), options.pace, record)?;
        let config = Config {
            listen: free_address()?,
            mgmt: free_address()?,
            discovery: discovery.address,
            memory_mb: options.memory_mb,
            sockets: options.sockets,
            known: discovery.whole_list(),
            settings: options.settings,
        };
        change(&discovery);
        let path = folder.0.join("config.json");
        config.write(&path)?;
        let node = Node::start(&path, &folder.0.join("tmp"), &folder.0.join("node.log"), record)?;
        wait_until_ready(config.mgmt)?;
        record.line("node is ready");
        Ok(Deployment { node, config, discovery, attempts, executors, _folder: folder })
    }
}
