//! Messages between nodes and allocators, one per datagram, encoded as JSON.
//!
//! Unknown fields are ignored, so that different versions of the programs can run together during an upgrade; an unknown
//! kind of message is an error.

use crate::{Grant, Micros, NodeIncarnation};
use serde::{Deserialize, Serialize};

/// A node's request for a share of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetClaim {
    /// The name of the budget.
    #[serde(rename = "b")]
    pub budget: String,
    /// The number of this request; each client numbers its requests per budget.
    #[serde(rename = "a")]
    pub request_number: u64,
    /// Units that the node could use.
    #[serde(rename = "d")]
    pub demand: u64,
    /// Units that the node used per second, or has in use.
    #[serde(rename = "u", default)]
    pub used: u64,
    /// The epoch and the number of the grant that the node has put in force; zeros for none.
    #[serde(rename = "g", default)]
    pub in_force: (u32, u64),
}

/// A grant of one budget, as it is sent to its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// The name of the budget.
    #[serde(rename = "b")]
    pub budget: String,
    /// See [`Grant::epoch`].
    #[serde(rename = "e")]
    pub epoch: u32,
    /// See [`Grant::number`].
    #[serde(rename = "n")]
    pub number: u64,
    /// See [`Grant::amount`].
    #[serde(rename = "m")]
    pub amount: u64,
    /// See [`Grant::answers`].
    #[serde(rename = "a")]
    pub answers: u64,
    /// See [`Grant::length`].
    #[serde(rename = "l")]
    pub length: Micros,
}

impl BudgetGrant {
    /// Returns the form of `grant` that is sent to its holder.
    pub fn of(budget: &str, grant: &Grant) -> BudgetGrant {
        let Grant { epoch, number, amount, answers, length, .. } = *grant;
        BudgetGrant { budget: budget.to_string(), epoch, number, amount, answers, length }
    }

    /// Returns the grant with its holder, who received it.
    pub fn to(&self, holder: NodeIncarnation) -> Grant {
        let BudgetGrant { epoch, number, amount, answers, length, .. } = *self;
        Grant { holder, epoch, number, amount, answers, length }
    }
}

/// A message between a node and an allocator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "w")]
pub enum Message {
    /// From a node: requests shares of budgets and reports their use.
    Ask {
        /// The incarnation that sends the message.
        #[serde(flatten)]
        holder: NodeIncarnation,
        /// The version of the node's configuration of budgets.
        plan: u64,
        /// One claim for each budget.
        #[serde(rename = "c")]
        claims: Vec<BudgetClaim>,
    },
    /// From a node: it has put these grants in force and never uses earlier ones again.
    #[serde(rename = "goes")]
    Acknowledge {
        /// The incarnation that sends the message.
        #[serde(flatten)]
        holder: NodeIncarnation,
        /// For each budget its name, and the epoch and the number of the grant.
        #[serde(rename = "by")]
        grants: Vec<(String, u32, u64)>,
    },
    /// From a node: it has released these grants and all earlier ones of the same budgets.
    Returns {
        /// The incarnation that sends the message.
        #[serde(flatten)]
        holder: NodeIncarnation,
        /// For each budget its name, and the epoch and the number of the grant.
        #[serde(rename = "of")]
        grants: Vec<(String, u32, u64)>,
    },
    /// From the leader: answers [`Message::Ask`] with the node's new grants.
    Grants {
        /// The incarnation that receives the grants.
        #[serde(flatten)]
        holder: NodeIncarnation,
        /// The latest version of the configuration file whose reserves nodes may use.
        plan: u64,
        /// The new grants. A budget without a new grant is left out.
        #[serde(rename = "g")]
        grants: Vec<BudgetGrant>,
    },
    /// From the leader: the node should ask again now, because it holds more than its share while other nodes lack units.
    #[serde(rename = "hurry")]
    AskAgain {
        /// The incarnation that should ask.
        #[serde(flatten)]
        holder: NodeIncarnation,
    },
    /// From an allocator that is not the leader: answers [`Message::Ask`] with the leader's name.
    #[serde(rename = "elsewhere")]
    NotLeader {
        /// The name of the leader, if the sender knows it.
        leader: Option<String>,
    },
}

/// Reports a datagram that is not a message of this protocol.
#[derive(Debug, thiserror::Error)]
#[error("the datagram is not a message of the quota protocol: {0}")]
pub struct MessageError(#[from] serde_json::Error);

impl Message {
    /// Encodes the message for a datagram.
    pub fn bytes(&self) -> Vec<u8> {
        // Serialization can't fail: a message has no map with keys other than strings.
        serde_json::to_vec(self).expect("a message can be encoded as JSON")
    }

    /// Decodes the message of a datagram.
    ///
    /// # Errors
    /// The bytes are not JSON, or of an unknown kind, or lack a field.
    pub fn read(bytes: &[u8]) -> Result<Message, MessageError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

/// How the units of a budget are distributed, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// The name of the budget.
    pub name: String,
    /// All units of the budget.
    #[serde(rename = "whole")]
    pub total: u64,
    /// Units that nodes may use without a grant.
    pub reserved: u64,
    /// Units granted to incarnations that are not suspected.
    pub granted: u64,
    /// Granted units beyond the demand of their holders.
    #[serde(rename = "lent")]
    pub surplus: u64,
    /// Units granted to suspected incarnations, until the grants expire.
    #[serde(rename = "in_doubt")]
    pub withheld: u64,
    /// Units that can be granted now.
    pub free: u64,
    /// Units granted or reserved beyond the total, after the total was lowered.
    pub debt: u64,
    /// Units in use, as nodes report them.
    pub used: u64,
    /// The number of the last grant of the budget.
    pub number: u64,
    /// The share of each node incarnation.
    pub parts: Vec<PartStatus>,
}

/// The share of a budget that one node incarnation holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartStatus {
    /// The name of the node, or `?` and its id if the configuration file does not list it.
    pub node: String,
    /// See [`NodeIncarnation::incarnation`].
    pub incarnation: u64,
    /// Units that the node may still be using: the largest of its grants that have not expired.
    pub amount: u64,
    /// Units that the node could use.
    pub demand: u64,
    /// Units in use, as the node reports them.
    pub used: u64,
    /// The number of the node's newest grant; 0 for none.
    pub number: u64,
    /// The time since the leader received the node's last request, in microseconds; `None` where it has received none.
    #[serde(rename = "heard")]
    pub received: Option<Micros>,
    /// Whether the allocator takes the node for dead, because no recent request has arrived.
    #[serde(rename = "doubted")]
    pub is_suspected: bool,
}

/// The state of all budgets as one allocator knows it, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the allocator that reports.
    #[serde(rename = "divider")]
    pub allocator: String,
    /// The name of the leader, if the allocator knows it.
    pub leader: Option<String>,
    /// The version of the committed configuration; 0 for none.
    pub plan: u64,
    /// The epoch of the grants; `None` until one lease term has passed after a new replicated log was initialized.
    pub epoch: Option<u32>,
    /// Earlier versions of the configuration whose reserves are still counted, because not all nodes use a newer one.
    pub kept: Vec<u64>,
    /// The status of each budget of the committed configuration.
    pub budgets: Vec<BudgetStatus>,
    /// The members of the fleet: name, membership state, and time in that state in microseconds.
    #[serde(default)]
    pub members: Vec<(String, String, Micros)>,
    /// Datagrams that failed authentication, counted by reason.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<(String, u64)>,
}
