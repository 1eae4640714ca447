//! Which members a message may name: all configured ones, and a limited number of others.
//!
//! Members that are not configured are accepted because the members of a cluster read a new configuration one after another. The limit
//! guards against memory and time that grow with messages under ever new numbers.

use crate::Peer;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Most members that are known without being configured.
const MAX_UNLISTED: usize = 64;

/// The numbers of the members that messages may name. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission(Rc<RefCell<Numbers>>);

#[derive(Debug, Default)]
struct Numbers {
    listed: BTreeSet<u32>,
    unlisted: BTreeSet<u32>,
}

impl Admission {
    /// Replaces the configured numbers, which include the member's own.
    pub(crate) fn set_listed(&self, listed: impl IntoIterator<Item = u32>) {
        let mut numbers = self.0.borrow_mut();
        let Numbers { listed: all, unlisted } = &mut *numbers;
        *all = listed.into_iter().collect();
        unlisted.retain(|number| !all.contains(number));
    }

    /// Replaces the numbers that are known without being configured by those among `known`.
    pub(crate) fn set_known(&self, known: impl IntoIterator<Item = u32>) {
        let mut numbers = self.0.borrow_mut();
        let Numbers { listed, unlisted } = &mut *numbers;
        *unlisted = known.into_iter().filter(|number| !listed.contains(number)).collect();
    }

    pub(crate) fn is_listed(&self, number: u32) -> bool {
        self.0.borrow().listed.contains(&number)
    }

    /// Returns whether members are known that are not configured.
    pub(crate) fn has_unlisted(&self) -> bool {
        !self.0.borrow().unlisted.is_empty()
    }

    /// Returns whether a message may name the member.
    pub(crate) fn admits(&self, number: u32) -> bool {
        let mut numbers = self.0.borrow_mut();
        if numbers.listed.contains(&number) || numbers.unlisted.contains(&number) {
            return true;
        }
        let is_below_limit = numbers.unlisted.len() < MAX_UNLISTED;
        // Counts at once: one message can name many.
        is_below_limit && numbers.unlisted.insert(number)
    }

    fn check(&self, peer: &Peer) -> Result<(), DecodeError> {
        if self.admits(peer.node) {
            Ok(())
        } else {
            Err(DecodeError::TooManyUnlisted(peer.node))
        }
    }
}

/// A message that can't be read, or names a member that is not accepted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DecodeError {
    #[error(transparent)]
    Format(#[from] postcard::Error),
    #[error("the member {0} is not configured, and neither are {MAX_UNLISTED} others that are known")]
    TooManyUnlisted(u32),
}

/// The codec of messages, which rejects those that name members beyond the limit.
#[derive(Debug)]
pub(crate) struct AdmittingCodec(pub(crate) Admission);

impl Codec<Peer> for AdmittingCodec {
    type Error = DecodeError;

    fn encode_header(&mut self, header: &Header<Peer>, buffer: impl BufMut) -> Result<(), DecodeError> {
        Ok(PostcardCodec.encode_header(header, buffer)?)
    }

    fn decode_header(&mut self, buffer: impl Buf) -> Result<Header<Peer>, DecodeError> {
        let header: Header<Peer> = PostcardCodec.decode_header(buffer)?;
        self.0.check(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Peer>, buffer: impl BufMut) -> Result<(), DecodeError> {
        Ok(PostcardCodec.encode_member(member, buffer)?)
    }

    fn decode_member(&mut self, buffer: impl Buf) -> Result<Member<Peer>, DecodeError> {
        let member: Member<Peer> = PostcardCodec.decode_member(buffer)?;
        self.0.check(member.id())?;
        Ok(member)
    }
}
