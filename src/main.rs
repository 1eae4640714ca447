//! The command line of the node.

mod budgets_command;

use bpaf::Bpaf;
use shorepath::net::config::{Config, ConfigError};
use shorepath::net::fleet::FleetSettings;
use shorepath::net::sites::{SitesError, SitesSettings};
use shorepath::net::{HandoverMode, Startup};
use shorepath_quota::config as quota_config;
use shorepath_quota::ClockSkew;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::Level;
use tracing_appender::non_blocking::NonBlockingBuilder;

/// Capacity of the queue of log lines that wait to be written.
const LOG_QUEUE_LINES: usize = 4096;

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
        #[bpaf(external(budgets_command::query))]
        query: budgets_command::Query,
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

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn read_config(path: Option<&Path>) -> Result<Config, ConfigError> {
    Config::read(path.ok_or(ConfigError::NoFile)?, environment_variable)
}

fn quota_unit(per: &quota_config::Per) -> &'static str {
    match per {
        quota_config::Per::Second { .. } => "a second",
        quota_config::Per::Moment { .. } => "at once",
    }
}

/// Options of the `serve` command.
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
        Command::Budgets { query } => budgets_command::print_response(&query),
        Command::Check { budgets, sites, config } => check(budgets, sites, config.as_deref()),
        Command::Version => {
            println!("shorepath {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn serve(options: ServeOptions) -> Result<(), Failure> {
    // Before any file is read: a signal that arrives meanwhile may announce a newer file.
    let startup = Startup::new()?;
    let path = options.config.ok_or(ConfigError::NoFile)?;
    let config = read_config(Some(&path))?;
    let skew = options.skew;
    let fleet_settings =
        options.budgets.map(|file| FleetSettings::read(file, &config.name, skew)).transpose()?;
    let sites_settings = match (options.sites, options.state) {
        (Some(file), Some(state)) => Some(SitesSettings::read(file, state, &config.name, skew)?),
        (Some(_), None) => return Err(SitesError::Stateless.into()),
        (None, _) => None,
    };
    let level = if options.verbose { Level::DEBUG } else { Level::INFO };
    // Guards against standard error that is read slowly or not at all: a blocking write to a full pipe would
    // stop the node, so lines that can't be written are dropped. By default, write errors are reported on the
    // same standard error, which panics if the pipe is broken.
    let (writer, _flush_guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LOG_QUEUE_LINES)
        .lossy(true)
        .finish(std::io::stderr());
    tracing_subscriber::fmt()
        .with_max_level(level)
        .log_internal_errors(false)
        .with_writer(writer)
        .with_target(false)
        .init();
    let handover_mode = if options.no_handover { HandoverMode::Off } else { HandoverMode::On };
    let reload_config = move || Config::reload(&path, environment_variable);
    shorepath::net::serve(startup, config, handover_mode, fleet_settings, sites_settings, reload_config)?;
    Ok(())
}

/// Checks the given files. A budgets file can be checked without a configuration, a sites file can't.
fn check(budgets: Option<PathBuf>, sites: Option<PathBuf>, config: Option<&Path>) -> Result<(), Failure> {
    if let Some(file) = &budgets {
        check_budgets(file)?;
        if sites.is_none() && config.is_none() {
            return Ok(());
        }
    }
    let config = read_config(config)?;
    let sites_settings = sites.map(|file| check_sites(file, &config)).transpose()?;
    if let Some(file) = budgets {
        check_quotas(file, &config, sites_settings.as_ref())?;
    }
    println!("{}: would serve on {}", config.name, config.listen);
    Ok(())
}

fn check_budgets(file: &Path) -> Result<(), Failure> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let plan = quota_config::read(&file.display().to_string(), &text)?;
    for budget in &plan.budgets {
        let (unit, shared) = (quota_unit(&budget.per), plan.shared_units(budget)?);
        let (floors, reserves) =
            (budget.floor * u64::from(plan.nodes), budget.reserve * u64::from(plan.nodes));
        println!(
            "{}: {} {unit}: {floors} floors, {reserves} reserves, {shared} by demand",
            budget.name, budget.total
        );
    }
    Ok(())
}

fn check_sites(file: PathBuf, config: &Config) -> Result<SitesSettings, Failure> {
    let sites_settings = SitesSettings::read(file, PathBuf::new(), &config.name, ClockSkew::default())?;
    let unknown = config.unknown_names(&sites_settings);
    if !unknown.is_empty() {
        return Err(format!("the settings do not define {}", unknown.join(", ")).into());
    }
    for site in &sites_settings.config().sites {
        println!("{}: {} nodes, bears {} a second", site.name, site.nodes.len(), site.capacity);
    }
    for (account, change) in sites_settings.account_changes() {
        println!("{account}: {:?} by file {}", change.standing, change.number);
    }
    Ok(sites_settings)
}

/// Checks that the budgets of a budgets file match the settings and, if there are any, the sites.
fn check_quotas(
    file: PathBuf,
    config: &Config,
    sites_settings: Option<&SitesSettings>,
) -> Result<(), Failure> {
    let fleet_settings = FleetSettings::read(file, &config.name, ClockSkew::default())?;
    let unknown = config.unknown_budgets(&fleet_settings.plan);
    if !unknown.is_empty() {
        return Err(
            format!("the settings have no tenant or class for the budget {}", unknown.join(", ")).into()
        );
    }
    let Some(sites_settings) = sites_settings else { return Ok(()) };
    let names = fleet_settings.plan.budgets.iter().map(|b| b.name.as_str());
    let (missing, unknown) =
        shorepath_sites::key_ownership::mismatched_budgets(sites_settings.config(), names);
    if !missing.is_empty() {
        return Err(format!(
            "the budgets file has no budget for {}: no node could take ownership of their keys",
            missing.join(", ")
        )
        .into());
    }
    if !unknown.is_empty() {
        return Err(format!("the sites file has no node for the budget {}", unknown.join(", ")).into());
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
