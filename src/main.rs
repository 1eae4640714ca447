//! The command line of the node.

mod ask;

use bpaf::Bpaf;
use shorepath::net::config::{Config, ConfigError};
use shorepath::net::fleet::FleetSettings;
use shorepath::net::sites::{SitesError, SitesSettings};
use shorepath::net::{HandoverMode, Startup};
use shorepath_quota::config as budgets;
use shorepath_quota::ClockSkew;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::Level;
use tracing_appender::non_blocking::NonBlockingBuilder;

/// Lines of the log that may wait to be written.
const LOG_LINES: usize = 4096;

/// A node that takes jobs from clients and dispatches them to backend servers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Serve clients until told to stop by SIGTERM or SIGINT; SIGHUP reads the configuration again
    #[bpaf(command)]
    Serve {
        /// Log what becomes of each dispatch, too
        #[bpaf(long, short)]
        verbose: bool,
        /// Neither take the listening socket from a process that serves at the same address nor hand
        /// it on: no Unix socket is opened, as without an operators' address
        #[bpaf(long("no-handover"))]
        no_handover: bool,
        /// The operator's file of budgets, S-expressions: share them with the other nodes listed there
        #[bpaf(long, argument("FILE"), optional)]
        budgets: Option<PathBuf>,
        /// The operator's file of sites, S-expressions: take part in the fleet of sites listed there
        #[bpaf(long, argument("FILE"), optional)]
        sites: Option<PathBuf>,
        /// With sites: a folder of this node's own, on a disk that lasts
        #[bpaf(long, argument("DIR"), optional)]
        state: Option<PathBuf>,
        /// Only for tests: the clock that grants are counted by begins so many seconds later
        #[bpaf(long("test-clock-offset"), argument("SECONDS"), fallback(0), hide)]
        offset: i64,
        /// Only for tests: the clock that grants are counted by gains so many millionths
        #[bpaf(long("test-clock-drift"), argument("PPM"), fallback(0), hide)]
        drift: i64,
        /// The configuration, a JSON file
        #[bpaf(long, short, argument("FILE"), env("ROUTER_CONFIG"), optional)]
        config: Option<PathBuf>,
    },
    /// Ask the dividers of a fleet where its budgets are
    #[bpaf(command)]
    Budgets {
        #[bpaf(external(ask::question))]
        question: ask::Question,
    },
    /// Check a configuration, or an operator's file of budgets, and say what is wrong with it
    #[bpaf(command)]
    Check {
        /// A file of budgets, S-expressions; without a configuration only that is checked
        #[bpaf(long, argument("FILE"), optional)]
        budgets: Option<PathBuf>,
        /// A file of sites, S-expressions, with the keys and the accounts that it names; needs a configuration
        #[bpaf(long, argument("FILE"), optional)]
        sites: Option<PathBuf>,
        /// The configuration, a JSON file
        #[bpaf(long, short, argument("FILE"), env("ROUTER_CONFIG"), optional)]
        config: Option<PathBuf>,
    },
    /// Print the version
    #[bpaf(command)]
    Version,
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn read(path: Option<&Path>) -> Result<Config, ConfigError> {
    Config::read(path.ok_or(ConfigError::Unnamed)?, variable)
}

fn per(per: &budgets::Per) -> &'static str {
    match per {
        budgets::Per::Second { .. } => "a second",
        budgets::Per::Moment { .. } => "at once",
    }
}

/// What `serve` is started with.
struct ServeOptions {
    verbose: bool,
    no_handover: bool,
    budgets: Option<PathBuf>,
    sites: Option<PathBuf>,
    state: Option<PathBuf>,
    skew: ClockSkew,
    config: Option<PathBuf>,
}

type Failure = Box<dyn std::error::Error>;

fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Serve { verbose, no_handover, budgets, sites, state, offset, drift, config } => {
            let skew = ClockSkew { offset: offset.saturating_mul(1_000_000), drift_ppm: drift };
            serve(ServeOptions { verbose, no_handover, budgets, sites, state, skew, config })
        }
        Command::Budgets { question } => ask::answer(&question),
        Command::Check { budgets, sites, config } => check(budgets, sites, config.as_deref()),
        Command::Version => {
            println!("shorepath {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn serve(options: ServeOptions) -> Result<(), Failure> {
    // Before anything is read: whatever a signal is about is newer.
    let startup = Startup::new()?;
    let path = options.config.ok_or(ConfigError::Unnamed)?;
    let config = read(Some(&path))?;
    let skew = options.skew;
    let sharing = options.budgets.map(|file| FleetSettings::read(file, &config.name, skew)).transpose()?;
    let siting = match (options.sites, options.state) {
        (Some(file), Some(state)) => Some(SitesSettings::read(file, state, &config.name, skew)?),
        (Some(_), None) => return Err(SitesError::Stateless.into()),
        (None, _) => None,
    };
    let level = if options.verbose { Level::DEBUG } else { Level::INFO };
    // Guards against a log that nobody reads any more, or too slowly: lines that can't be
    // written are dropped. Written here, a full pipe would stop the node; and a broken one is
    // complained about on the same standard error by default, which panics.
    let (writer, _flushed_at_the_end) =
        NonBlockingBuilder::default().buffered_lines_limit(LOG_LINES).lossy(true).finish(std::io::stderr());
    tracing_subscriber::fmt()
        .with_max_level(level)
        .log_internal_errors(false)
        .with_writer(writer)
        .with_target(false)
        .init();
    let handing = if options.no_handover { HandoverMode::Off } else { HandoverMode::On };
    let again = move || Config::read_again(&path, variable);
    shorepath::net::serve(startup, config, handing, sharing, siting, again)?;
    Ok(())
}

/// Check the files that are named. Without a configuration only a file of budgets can be checked.
fn check(budgets: Option<PathBuf>, sites: Option<PathBuf>, config: Option<&Path>) -> Result<(), Failure> {
    if let Some(file) = &budgets {
        check_budgets(file)?;
        if sites.is_none() && config.is_none() {
            return Ok(());
        }
    }
    let config = read(config)?;
    let siting = sites.map(|file| check_sites(file, &config)).transpose()?;
    if let Some(file) = budgets {
        check_quotas(file, &config, siting.as_ref())?;
    }
    println!("{}: would serve on {}", config.name, config.listen);
    Ok(())
}

fn check_budgets(file: &Path) -> Result<(), Failure> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let plan = budgets::read(&file.display().to_string(), &text)?;
    for b in &plan.budgets {
        let (per, left) = (per(&b.per), plan.shared_units(b)?);
        let (floors, reserves) = (b.floor * u64::from(plan.nodes), b.reserve * u64::from(plan.nodes));
        println!("{}: {} {per}: {floors} floors, {reserves} reserves, {left} by demand", b.name, b.total);
    }
    Ok(())
}

fn check_sites(file: PathBuf, config: &Config) -> Result<SitesSettings, Failure> {
    let siting = SitesSettings::read(file, PathBuf::new(), &config.name, ClockSkew::default())?;
    let strange = config.strange_in_sites(&siting);
    if !strange.is_empty() {
        return Err(format!("the settings know nothing of {}", strange.join(", ")).into());
    }
    for site in &siting.config().sites {
        println!("{}: {} nodes, bears {} a second", site.name, site.nodes.len(), site.capacity);
    }
    for (account, change) in siting.account_changes() {
        println!("{account}: {:?} by file {}", change.standing, change.number);
    }
    Ok(siting)
}

/// Whether the quotas of a file of budgets fit the settings and the sites.
fn check_quotas(file: PathBuf, config: &Config, siting: Option<&SitesSettings>) -> Result<(), Failure> {
    let sharing = FleetSettings::read(file, &config.name, ClockSkew::default())?;
    let strange = config.strangers(&sharing.plan);
    if !strange.is_empty() {
        return Err(format!("nothing here is bounded by {}", strange.join(", ")).into());
    }
    let Some(siting) = siting else { return Ok(()) };
    let names = sharing.plan.budgets.iter().map(|b| b.name.as_str());
    let (missing, strange) = shorepath_sites::key_ownership::mismatched_budgets(siting.config(), names);
    if !missing.is_empty() {
        return Err(format!("no budget for {}: nobody would place their keys", missing.join(", ")).into());
    }
    if !strange.is_empty() {
        return Err(format!("no node of the file of sites is {}", strange.join(", ")).into());
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("shorepath: {e}");
            ExitCode::FAILURE
        }
    }
}
