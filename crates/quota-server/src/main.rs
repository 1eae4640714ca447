//! The command line of the quota server.

use bpaf::Bpaf;
use shorepath_message_auth::advice;
use shorepath_message_auth::keyring::Keys;
use shorepath_quota::config::{self, Plan};
use shorepath_quota::ClockSkew;
use shorepath_quota_server::clock::Clock;
use shorepath_quota_server::server::{serve, Options};
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;
use tracing::Level;

/// Lease shares of a fleet's budgets to its nodes, together with the other allocators of the budgets file
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Command {
    /// Also log each grant
    #[bpaf(long, short)]
    verbose: bool,
    /// The budgets file, which is read again on SIGHUP
    #[bpaf(long, argument("FILE"))]
    budgets: PathBuf,
    /// The name of this allocator in the budgets file
    #[bpaf(long, argument("NAME"))]
    name: String,
    /// The address to listen on, if it differs from the one in the budgets file
    #[bpaf(long, argument("ADDRESS"), optional)]
    listen: Option<SocketAddr>,
    /// The folder for the replicated log, on persistent storage
    #[bpaf(long, argument("DIR"))]
    state: PathBuf,
    /// Only for tests: start the clock at this many seconds
    #[bpaf(long("test-clock-offset"), argument("SECONDS"), fallback(0), hide)]
    offset: i64,
    /// Only for tests: let the clock gain this many millionths of real time
    #[bpaf(long("test-clock-drift"), argument("PPM"), fallback(0), hide)]
    drift: i64,
}

/// Reads the keys of a file, which only its owner may be able to access.
fn read_keys(path: &Path) -> Result<Keys, String> {
    let name = path.display();
    let with_path = |e: std::io::Error| format!("{name}: {e}");
    let mut file = std::fs::File::open(path).map_err(with_path)?;
    Keys::check_file_mode(file.metadata().map_err(with_path)?.mode())
        .map_err(|e| format!("{name}: {}", advice(&e)))?;
    let mut text = String::new();
    file.read_to_string(&mut text).map_err(with_path)?;
    Keys::read(&text).map_err(|e| format!("{name}: {}", advice(&e)))
}

/// Reads the budgets file and the file of keys that it names.
fn read_configuration(path: &Path) -> Result<(Plan, Option<Keys>), Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let plan = config::read(&path.display().to_string(), &text)?;
    let keys = plan.key.as_deref().map(read_keys).transpose()?;
    Ok((plan, keys))
}

fn run(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    let (plan, keys) = read_configuration(&command.budgets)?;
    let level = if command.verbose { Level::DEBUG } else { Level::INFO };
    let directives = format!("shorepath_quota_server={level},warn");
    let targets: tracing_subscriber::filter::Targets = directives.parse()?;
    use tracing_subscriber::layer::SubscriberExt;
    use tracing_subscriber::util::SubscriberInitExt;
    let stderr_layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_target(false);
    tracing_subscriber::registry().with(stderr_layer).with(targets).init();
    let clock =
        Clock::new(ClockSkew { offset: command.offset.saturating_mul(1_000_000), drift_ppm: command.drift });
    let options =
        Options { name: command.name, listen: command.listen, state: command.state, plan, keys, clock };
    let path = command.budgets;
    let reload = move || read_configuration(&path).inspect_err(|e| tracing::warn!("{e}")).ok();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(options, reload))?;
    Ok(())
}

fn main() -> ExitCode {
    match run(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("shorepath-divider: {e}");
            ExitCode::FAILURE
        }
    }
}
