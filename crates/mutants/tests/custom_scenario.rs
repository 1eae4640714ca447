//! A complete example of a scenario: three actors replicate the highest of the values that they write.

use serde::{Deserialize, Serialize};
use shorepath_mutants::campaign::{run, Campaign};
use shorepath_mutants::change::{Change, Encoding};
use shorepath_mutants::scenario::{parse_json, Action, Process, Scenario, ScenarioSystem};
use shorepath_mutants::simulation::{Actor, Outcome, Violation};
use shorepath_mutants::Micros;

const MS: Micros = 1_000;
const WRITTEN_VALUES: u64 = 3;

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "w")]
enum Message {
    #[serde(rename = "mark")]
    Update {
        #[serde(rename = "life")]
        incarnation: u64,
        #[serde(rename = "mark")]
        value: u64,
    },
}

/// With the fault `ACCEPTS_OLDER`, a replica accepts a value that is lower than its own.
struct Replica<const ACCEPTS_OLDER: bool> {
    me: Actor,
    incarnation: u64,
    value: u64,
    next: Micros,
    outgoing: Vec<(Actor, Vec<u8>)>,
}

impl<const ACCEPTS_OLDER: bool> Process for Replica<ACCEPTS_OLDER> {
    fn receive(&mut self, _: Micros, _: Actor, bytes: &[u8]) -> Result<(), String> {
        let Message::Update { value, .. } = parse_json(bytes)?;
        if value <= self.value && !ACCEPTS_OLDER {
            return Err("the value is not higher than the known one".into());
        }
        self.value = value;
        Ok(())
    }

    fn advance(&mut self, now: Micros) {
        self.next = now + 100 * MS;
        // The replicas write one value each, in the order of their indices.
        if now >= self.me as Micros * 700 * MS {
            self.value = self.value.max(self.me as u64 + 1);
        }
        let message =
            serde_json::to_vec(&Message::Update { incarnation: self.incarnation, value: self.value })
                .unwrap();
        self.outgoing.extend((0..3).filter(|o| *o != self.me).map(|o| (o, message.clone())));
    }

    fn next_due(&self) -> Option<Micros> {
        Some(self.next)
    }

    fn take_outgoing(&mut self) -> Vec<(Actor, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }
}

struct HighestValue<const ACCEPTS_OLDER: bool>;

impl<const ACCEPTS_OLDER: bool> Scenario for HighestValue<ACCEPTS_OLDER> {
    type Process = Replica<ACCEPTS_OLDER>;
    const NAME: &'static str = "marks";
    const ENCODING: Encoding = Encoding::Json("w");
    const DURATION: Micros = 3_000 * MS;
    const DELAYS: [Micros; 3] = [50 * MS, 500 * MS, 1_450 * MS];
    const SETTLE_TIME: Micros = 300 * MS;
    const ACTOR_COUNT: usize = 3;

    fn start(_: u64, me: Actor, incarnation: u64, now: Micros) -> Self::Process {
        Replica { me, incarnation, value: 0, next: now, outgoing: Vec::new() }
    }

    fn actions(_: u64) -> Vec<(Micros, Action)> {
        vec![(900 * MS, Action::Kill(0)), (1_000 * MS, Action::Start(0))]
    }

    fn check_invariants(processes: &[Option<Self::Process>], _: Micros) -> Result<(), Violation> {
        let unwritten = processes.iter().flatten().find(|p| p.value > WRITTEN_VALUES);
        unwritten.map_or(Ok(()), |p| {
            Err(Violation::new(
                "only written values are known",
                format!("replica {} has value {}", p.me, p.value),
            ))
        })
    }

    fn check_final_state(processes: &[Option<Self::Process>], _: Micros) -> Result<(), Violation> {
        let all = processes.iter().flatten().all(|p| p.value == WRITTEN_VALUES);
        all.then_some(()).ok_or(Violation::new("all replicas have the highest value", ""))
    }

    fn forgery_exemption(_: &[u8], change: &Change, violation: &Violation) -> Option<&'static str> {
        let forged = change.field() == "mark" && violation.rule == "only written values are known";
        forged.then_some("the value is known only from the message")
    }
}

#[test]
fn custom_scenario_passes_and_its_fault_is_detected() {
    let campaign = Campaign {
        seeds: 0..1,
        max_mutants: Some(1_500),
        authenticated: false,
        kinds: Vec::new(),
        threads: 2,
    };
    let report = run::<ScenarioSystem<HighestValue<false>>>(&campaign);
    assert_eq!(report.failed, 0, "{report}");
    assert!(
        report.exempt.values().sum::<u64>() > 0
            && report.rejected.contains_key("the value is not higher than the known one"),
        "{report}"
    );
    assert!(report.kinds["replayed from an earlier life"].executed > 0, "{report}");
    // With the fault, a message that arrives late lowers the value.
    let report =
        run::<ScenarioSystem<HighestValue<true>>>(&Campaign { seeds: 0..2, authenticated: true, ..campaign });
    assert!(matches!(report.first, Some(f) if matches!(f.outcome, Outcome::Violated(..))));
}
