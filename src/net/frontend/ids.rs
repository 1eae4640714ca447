//! Request ids in use, in this process and in the one beside it.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;
use tokio::sync::mpsc;
use tracing::warn;

/// Words about ids that may wait for another process to hear them; an id a connection fits.
const MAX_TEXT: usize = 4096;

/// The ids of open jobs.
#[derive(Debug, Default)]
pub struct Ids {
    pub(super) own: HashSet<String>,
    /// Those of another process that is this node, too.
    pub(super) others: HashSet<String>,
    /// What that process is to be told.
    pub(super) messages: Option<mpsc::Sender<String>>,
}

impl Ids {
    /// Tell another process of them: words that each begin or end one.
    pub fn share(ids: &RefCell<Ids>) -> mpsc::Receiver<String> {
        let (messages, notified) = mpsc::channel(MAX_TEXT);
        let mut ids = ids.borrow_mut();
        ids.messages = Some(messages);
        ids.own.iter().for_each(|id| ids.report("take", id));
        notified
    }

    /// The other process has ended.
    pub fn part(ids: &RefCell<Ids>) {
        let mut ids = ids.borrow_mut();
        ids.messages = None;
        ids.others.clear();
    }

    /// The other process has begun or ended a job with that id.
    pub fn received(&mut self, id: &str, open: bool) {
        match open {
            true => self.others.insert(id.to_string()),
            false => self.others.remove(id),
        };
    }

    pub(super) fn report(&self, message: &str, id: &str) {
        let Some(messages) = &self.messages else { return };
        if messages.try_send(format!("{message} {id}")).is_err() {
            warn!("the other process hears nothing: it may take an id that is in use");
        }
    }
}

/// The id of a job, which no other job has for as long as this one is open or a dispatch of it is out.
/// Guards against a client that sends another's id: the two would be one request to a backend server,
/// which turns the second away or hands it the first one's result.
#[derive(Debug)]
pub struct Claim {
    pub(super) id: String,
    pub(super) all: Rc<RefCell<Ids>>,
}

impl Claim {
    /// The claim on that id, unless another job has it.
    pub fn on(id: String, all: &Rc<RefCell<Ids>>) -> Option<Claim> {
        let mut ids = all.borrow_mut();
        let free = !ids.others.contains(&id) && ids.own.insert(id.clone());
        free.then(|| {
            ids.report("take", &id);
            Claim { id, all: all.clone() }
        })
    }
}

impl Deref for Claim {
    type Target = str;
    fn deref(&self) -> &str {
        &self.id
    }
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut ids = self.all.borrow_mut();
        ids.own.remove(&self.id);
        ids.report("free", &self.id);
    }
}
