//! Four members of a fleet, one of which is killed and restarted.

use crate::change::{Change, Encoding};
use crate::scenario::{Action, Process, Scenario};
use crate::simulation::{Actor, Violation};
use crate::Micros;
use shorepath_membership::{Effect, MemberState, Membership, Peer};

const S: Micros = 1_000_000;
const MEMBERS: usize = 4;

/// The process of a member of the fleet.
#[derive(Debug)]
pub struct Member(Membership);

impl Process for Member {
    fn receive(&mut self, now: Micros, _: Actor, bytes: &[u8]) -> Result<(), String> {
        // The start of the library's error, without figures that differ from message to message.
        let reason = |e: String| e.chars().filter(|c| !c.is_ascii_digit()).take(60).collect();
        self.0.receive(now, bytes).map_err(|e| reason(e.to_string()))
    }

    fn advance(&mut self, now: Micros) {
        self.0.advance(now);
    }

    fn next_due(&self) -> Option<Micros> {
        self.0.due()
    }

    fn take_outgoing(&mut self) -> Vec<(Actor, Vec<u8>)> {
        let outgoing =
            |e| if let Effect::Outgoing { to, bytes } = e { Some((to as Actor, bytes)) } else { None };
        self.0.take_effects().into_iter().filter_map(outgoing).collect()
    }
}

/// The scenario of [`crate::systems::membership`].
#[derive(Debug)]
pub struct MembershipScenario;

impl Scenario for MembershipScenario {
    type Process = Member;
    const NAME: &'static str = "members";
    const ENCODING: Encoding = Encoding::Binary;
    const DURATION: Micros = 45 * S;
    const DELAYS: [Micros; 3] = [S, 5 * S, 20 * S];
    const SETTLE_TIME: Micros = 10 * S;
    const ACTOR_COUNT: usize = MEMBERS;

    fn start(seed: u64, actor: Actor, incarnation: u64, now: Micros) -> Member {
        let others = (0..MEMBERS as u32).filter(|o| *o != actor as u32).collect();
        let me = Peer { node: actor as u32, incarnation: Self::wire_incarnation(incarnation) };
        Member(Membership::new(me, others, seed ^ (actor as u64) << 8 ^ incarnation << 16, now))
    }

    fn wire_incarnation(incarnation: u64) -> u64 {
        incarnation * 1_000_000
    }

    fn actions(seed: u64) -> Vec<(Micros, Action)> {
        let actor = seed as usize % MEMBERS;
        vec![
            (6 * S, Action::Kill(actor)),
            (if seed.is_multiple_of(2) { 7 * S } else { 18 * S }, Action::Start(actor)),
        ]
    }

    fn check_invariants(processes: &[Option<Member>], _: Micros) -> Result<(), Violation> {
        for (actor, member) in processes.iter().enumerate().filter_map(|(a, m)| Some((a, m.as_ref()?))) {
            if let Some(unexpected) =
                member.0.members().find(|m| m.peer.node as usize == actor || m.peer.node as usize >= MEMBERS)
            {
                return Err(Violation::new(
                    "only configured members are known",
                    format!("member {actor} knows {unexpected:?}"),
                ));
            }
        }
        Ok(())
    }

    fn check_final_state(processes: &[Option<Member>], _: Micros) -> Result<(), Violation> {
        for (actor, member) in processes.iter().enumerate().filter_map(|(a, m)| Some((a, m.as_ref()?))) {
            for other in (0..MEMBERS).filter(|o| *o != actor) {
                let state = member.0.state(other as u32);
                // The network loses messages until the end, so a live member may be suspected at any moment before it refutes that.
                if !matches!(state, Some(MemberState::Alive | MemberState::Suspect)) {
                    return Err(Violation::new(
                        "all members see each other alive",
                        format!("member {actor} knows member {other} as {state:?}"),
                    ));
                }
            }
        }
        Ok(())
    }

    fn forgery_exemption(_: &[u8], change: &Change, violation: &Violation) -> Option<&'static str> {
        match (change, violation.rule) {
            // The core accepts any member that a message names; a node looks it up in the configuration and finds no address.
            (Change::ByteFlipped(..), "only configured members are known") => {
                Some("a message can name a member that is not configured")
            }
            _ => None,
        }
    }
}
