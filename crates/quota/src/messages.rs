//! What nodes and dividers say to each other, one word a datagram. Words are JSON: fields that a program doesn't know are
//! passed over, so that two versions of it can stand side by side; a word that it doesn't know at all is told as such.

use crate::{Grant, Micros, NodeIncarnation};
use serde::{Deserialize, Serialize};

/// What a node says of one budget as it asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetClaim {
    /// The budget.
    #[serde(rename = "b")]
    pub budget: String,
    /// The number of this asking, by the node's own count.
    #[serde(rename = "a")]
    pub answers: u64,
    /// Units that it could use.
    #[serde(rename = "d")]
    pub demand: u64,
    /// Units that it uses, or has in use.
    #[serde(rename = "u", default)]
    pub used: u64,
    /// The fleet and the number of the grant that it goes by; 0 for none.
    #[serde(rename = "g", default)]
    pub in_force: (u32, u64),
}

/// A grant of one budget to the life that is told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// The budget.
    #[serde(rename = "b")]
    pub budget: String,
    /// See [`Grant`].
    #[serde(rename = "e")]
    pub epoch: u32,
    /// See [`Grant`].
    #[serde(rename = "n")]
    pub number: u64,
    /// See [`Grant`].
    #[serde(rename = "m")]
    pub amount: u64,
    /// See [`Grant`].
    #[serde(rename = "a")]
    pub answers: u64,
    /// See [`Grant`].
    #[serde(rename = "l")]
    pub length: Micros,
}

impl BudgetGrant {
    /// That grant of that budget.
    pub fn of(budget: &str, grant: &Grant) -> BudgetGrant {
        let Grant { epoch, number, amount, answers, length, .. } = *grant;
        BudgetGrant { budget: budget.to_string(), epoch, number, amount, answers, length }
    }

    /// The grant, to the life that was told.
    pub fn to(&self, holder: NodeIncarnation) -> Grant {
        let BudgetGrant { epoch, number, amount, answers, length, .. } = *self;
        Grant { holder, epoch, number, amount, answers, length }
    }
}

/// One word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "w")]
pub enum Message {
    /// A node asks for parts, and says what it has.
    Ask {
        /// Who.
        #[serde(flatten)]
        holder: NodeIncarnation,
        /// The version of its file.
        plan: u64,
        /// Budgets.
        #[serde(rename = "c")]
        claims: Vec<BudgetClaim>,
    },
    /// A node goes by those grants from now on, and never by earlier ones.
    #[serde(rename = "goes")]
    Acknowledge {
        /// Who.
        #[serde(flatten)]
        holder: NodeIncarnation,
        /// Budgets, with the fleets and numbers of the grants.
        #[serde(rename = "by")]
        grants: Vec<(String, u32, u64)>,
    },
    /// A node uses nothing of those grants any more, nor of earlier ones.
    Returns {
        /// Who.
        #[serde(flatten)]
        holder: NodeIncarnation,
        /// Budgets, with the fleets and numbers of the grants.
        #[serde(rename = "of")]
        grants: Vec<(String, u32, u64)>,
    },
    /// A divider's answer.
    Grants {
        /// The life that it is for.
        #[serde(flatten)]
        holder: NodeIncarnation,
        /// The version of the file that the fleet has agreed on.
        plan: u64,
        /// Budgets; none for what there is nothing of.
        #[serde(rename = "g")]
        grants: Vec<BudgetGrant>,
    },
    /// Somebody else is short of what this node has: ask again now.
    #[serde(rename = "hurry")]
    AskAgain {
        /// The life that is meant.
        #[serde(flatten)]
        holder: NodeIncarnation,
    },
    /// This divider does not lead; the one named does, as far as it knows.
    #[serde(rename = "elsewhere")]
    NotLeader {
        /// The divider.
        leader: Option<String>,
    },
}

/// Why a datagram is no word.
#[derive(Debug, thiserror::Error)]
#[error("no word: {0}")]
pub struct MessageError(#[from] serde_json::Error);

impl Message {
    /// As it is said.
    pub fn bytes(&self) -> Vec<u8> {
        // It holds nothing that JSON can't say.
        serde_json::to_vec(self).expect("JSON writes a message")
    }

    /// As it was said.
    ///
    /// # Errors
    /// Where it makes no sense to this program.
    pub fn read(bytes: &[u8]) -> Result<Message, MessageError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

/// Where the units of a budget are, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Its name.
    pub name: String,
    /// All units.
    #[serde(rename = "whole")]
    pub total: u64,
    /// Kept for nodes without a grant.
    pub reserved: u64,
    /// Granted to lives that were heard of lately.
    pub granted: u64,
    /// Of these, beyond what they ask for.
    #[serde(rename = "lent")]
    pub surplus: u64,
    /// Held back for lives that are thought dead.
    #[serde(rename = "in_doubt")]
    pub withheld: u64,
    /// Free.
    pub free: u64,
    /// Granted beyond the whole, since that was lowered.
    pub debt: u64,
    /// Used by the nodes' own word.
    pub used: u64,
    /// Grants agreed on so far.
    pub number: u64,
    /// Who has how much.
    pub parts: Vec<PartStatus>,
}

/// One life's part of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartStatus {
    /// The node's name.
    pub node: String,
    /// Which life of it.
    pub incarnation: u64,
    /// Units that it has to be taken to use.
    pub amount: u64,
    /// Units that it asks for.
    pub demand: u64,
    /// Units that it uses by its own word.
    pub used: u64,
    /// The number of its newest grant.
    pub number: u64,
    /// How long ago it was heard of, in microseconds.
    #[serde(rename = "heard")]
    pub received: Option<Micros>,
    /// It is thought dead.
    #[serde(rename = "doubted")]
    pub is_suspected: bool,
}

/// A divider's view, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whose view.
    #[serde(rename = "divider")]
    pub allocator: String,
    /// Who divides, as far as it knows.
    pub leader: Option<String>,
    /// The version of the file that was agreed on; 0 for none.
    pub plan: u64,
    /// The fleet that gives grants; none for a term after one was founded.
    pub epoch: Option<u32>,
    /// Versions whose reserves are still kept, because not all nodes have said that they go by a newer one.
    pub kept: Vec<u64>,
    /// The budgets.
    pub budgets: Vec<BudgetStatus>,
    /// Who is in the fleet: the name, where it stands, for how long, in microseconds.
    #[serde(default)]
    pub members: Vec<(String, String, Micros)>,
    /// Datagrams that were dropped because of their codes: why, and how many.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<(String, u64)>,
}
