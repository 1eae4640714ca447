//! Four members, one of which is killed and starts again.

use crate::change::{Change, Form};
use crate::core::{Actor, Broken};
use crate::troupe::{Deed, Part, Script};
use crate::Micros;
use shorepath_membership::{Effect, MemberState, Membership, Peer};

const S: Micros = 1_000_000;
const MEMBERS: usize = 4;

/// One life of a member.
#[derive(Debug)]
pub struct Member(Membership);

impl Part for Member {
    fn hear(&mut self, now: Micros, _: Actor, bytes: &[u8]) -> Result<(), String> {
        // What the library says of it, without what differs from word to word.
        let why = |e: String| e.chars().filter(|c| !c.is_ascii_digit()).take(60).collect();
        self.0.receive(now, bytes).map_err(|e| why(e.to_string()))
    }

    fn pass(&mut self, now: Micros) {
        self.0.advance(now);
    }

    fn due(&self) -> Option<Micros> {
        self.0.due()
    }

    fn says(&mut self) -> Vec<(Actor, Vec<u8>)> {
        let said = |e| if let Effect::Outgoing { to, bytes } = e { Some((to as Actor, bytes)) } else { None };
        self.0.take_effects().into_iter().filter_map(said).collect()
    }
}

/// See [`crate::systems::members`].
#[derive(Debug)]
pub struct Members;

impl Script for Members {
    type Part = Member;
    const NAME: &'static str = "members";
    const FORM: Form = Form::Binary;
    const LENGTH: Micros = 45 * S;
    const LATE: [Micros; 3] = [S, 5 * S, 20 * S];
    const SETTLES: Micros = 10 * S;
    const ACTORS: usize = MEMBERS;

    fn start(seed: u64, actor: Actor, life: u64, now: Micros) -> Member {
        let others = (0..MEMBERS as u32).filter(|o| *o != actor as u32).collect();
        let me = Peer { node: actor as u32, incarnation: Self::name(life) };
        Member(Membership::new(me, others, seed ^ (actor as u64) << 8 ^ life << 16, now))
    }

    fn name(life: u64) -> u64 {
        life * 1_000_000
    }

    fn deeds(seed: u64) -> Vec<(Micros, Deed)> {
        let who = seed as usize % MEMBERS;
        vec![
            (6 * S, Deed::Kill(who)),
            (if seed.is_multiple_of(2) { 7 * S } else { 18 * S }, Deed::Start(who)),
        ]
    }

    fn invariants(parts: &[Option<Member>], _: Micros) -> Result<(), Broken> {
        for (actor, member) in parts.iter().enumerate().filter_map(|(a, m)| Some((a, m.as_ref()?))) {
            if let Some(odd) =
                member.0.members().find(|m| m.peer.node as usize == actor || m.peer.node as usize >= MEMBERS)
            {
                return Err(Broken::new("only those listed", format!("{actor} knows {odd:?}")));
            }
        }
        Ok(())
    }

    fn settled(parts: &[Option<Member>], _: Micros) -> Result<(), Broken> {
        for (actor, member) in parts.iter().enumerate().filter_map(|(a, m)| Some((a, m.as_ref()?))) {
            for other in (0..MEMBERS).filter(|o| *o != actor) {
                let standing = member.0.state(other as u32);
                // The network goes on losing words: a suspicion may stand at any moment, and is contradicted or becomes Gone.
                if !matches!(standing, Some(MemberState::Alive | MemberState::Suspect)) {
                    return Err(Broken::new(
                        "all agree on who lives",
                        format!("{actor} holds {other} for {standing:?}"),
                    ));
                }
            }
        }
        Ok(())
    }

    fn excuse(_: &[u8], change: &Change, broken: &Broken) -> Option<&'static str> {
        match (change, broken.rule) {
            // The core takes whoever is named for a member; the shell looks names up in the file, and has no address for this one.
            (Change::Flipped(..), "only those listed") => Some("a word can name a member that nobody listed"),
            _ => None,
        }
    }
}
