//! The command line, for campaigns over many seeds or all mutants.

use bpaf::Bpaf;
use shorepath_mutants::campaign::{run, Campaign};
use shorepath_mutants::scenario::ScenarioSystem;
use shorepath_mutants::systems::accounts::AccountsScenario;
use shorepath_mutants::systems::key_ownership::KeyOwnershipScenario;
use shorepath_mutants::systems::load_shifting::LoadShiftingScenario;
use shorepath_mutants::systems::membership::MembershipScenario;
use shorepath_mutants::systems::placements::PlacementsScenario;
use shorepath_mutants::systems::quota::QuotaSystem;
use shorepath_mutants::systems::site_health::SiteHealthScenario;
use std::io::Write;
use std::process::ExitCode;

/// Play runs of a fleet in virtual time, and again once for each change of one message
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Play all mutants of so many runs; ends with 2 where one failed
    #[bpaf(command)]
    Run {
        /// Runs, each with its seed
        #[bpaf(long, argument("N"), fallback(1))]
        seeds: u64,
        /// The first seed
        #[bpaf(long, argument("SEED"), fallback(0))]
        from: u64,
        /// Mutants of each system at most, spread evenly; all where it isn't given
        #[bpaf(long, argument("N"), optional)]
        most: Option<usize>,
        /// Words carry a code: changes of their content are refused by it and not played
        #[bpaf(long)]
        sealed: bool,
        /// Only changes of this kind, as the report names it; may be given several times
        #[bpaf(long("kind"), argument("KIND"))]
        kinds: Vec<String>,
        /// Threads; all cores where it isn't given
        #[bpaf(long, argument("N"), optional)]
        threads: Option<usize>,
        /// One system: budgets, members, accounts, seeing, placements, homes or lending; all where it isn't given
        #[bpaf(long, argument("NAME"), optional)]
        system: Option<String>,
    },
}

fn main() -> ExitCode {
    let Command::Run { seeds, from, most, sealed, kinds, threads, system } = command().run();
    let threads = threads.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from));
    let campaign = Campaign {
        seeds: from..from.saturating_add(seeds),
        max_mutants: most,
        authenticated: sealed,
        kinds,
        threads,
    };
    let all = [
        ("budgets", run::<QuotaSystem> as fn(&Campaign) -> _),
        ("members", run::<ScenarioSystem<MembershipScenario>>),
        ("accounts", run::<ScenarioSystem<AccountsScenario>>),
        ("seeing", run::<ScenarioSystem<SiteHealthScenario>>),
        ("placements", run::<ScenarioSystem<PlacementsScenario>>),
        ("homes", run::<ScenarioSystem<KeyOwnershipScenario>>),
        ("lending", run::<ScenarioSystem<LoadShiftingScenario>>),
    ];
    let wanted = |name: &str| system.as_ref().is_none_or(|s| s == name);
    if !all.iter().any(|(name, _)| wanted(name)) {
        let _ = writeln!(
            std::io::stderr(),
            "unknown system; the systems are: {}",
            all.map(|(name, _)| name).join(", ")
        );
        return ExitCode::from(1);
    }
    let mut failed = 0;
    for (_, run_campaign) in all.iter().filter(|(name, _)| wanted(name)) {
        let report = run_campaign(&campaign);
        failed += report.failed;
        // Ignores a closed pipe, which `print!` would panic on.
        let _ = write!(std::io::stdout(), "{report}");
    }
    if failed > 0 {
        ExitCode::from(2)
    } else {
        ExitCode::SUCCESS
    }
}
