//! The command line of a divider.

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

/// Divide a fleet's budgets among its nodes, together with the other dividers of the operator's file
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Command {
    /// Log each grant, too
    #[bpaf(long, short)]
    verbose: bool,
    /// The operator's file of budgets; SIGHUP reads it again
    #[bpaf(long, argument("FILE"))]
    budgets: PathBuf,
    /// This divider's name in the file
    #[bpaf(long, argument("NAME"))]
    name: String,
    /// Where it listens, if not at its address in the file
    #[bpaf(long, argument("ADDRESS"), optional)]
    listen: Option<SocketAddr>,
    /// The folder in which it keeps what was agreed on; its disk must last
    #[bpaf(long, argument("DIR"))]
    state: PathBuf,
    /// Only for tests: the clock begins so many seconds later
    #[bpaf(long("test-clock-offset"), argument("SECONDS"), fallback(0), hide)]
    offset: i64,
    /// Only for tests: the clock gains so many millionths
    #[bpaf(long("test-clock-drift"), argument("PPM"), fallback(0), hide)]
    drift: i64,
}

/// The keys in a file that is its owner's alone.
fn keys(path: &Path) -> Result<Keys, String> {
    let name = path.display();
    let io = |e: std::io::Error| format!("{name}: {e}");
    let mut file = std::fs::File::open(path).map_err(io)?;
    Keys::mode(file.metadata().map_err(io)?.mode()).map_err(|e| format!("{name}: {}", advice(&e)))?;
    let mut text = String::new();
    file.read_to_string(&mut text).map_err(io)?;
    Keys::read(&text).map_err(|e| format!("{name}: {}", advice(&e)))
}

fn read(path: &Path) -> Result<(Plan, Option<Keys>), Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let plan = config::read(&path.display().to_string(), &text)?;
    let keys = plan.key.as_deref().map(keys).transpose()?;
    Ok((plan, keys))
}

fn run(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    let (plan, keys) = read(&command.budgets)?;
    let level = if command.verbose { Level::DEBUG } else { Level::INFO };
    let own = format!("shorepath_quota_server={level},warn");
    let targets: tracing_subscriber::filter::Targets = own.parse()?;
    use tracing_subscriber::layer::SubscriberExt;
    use tracing_subscriber::util::SubscriberInitExt;
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_target(false);
    tracing_subscriber::registry().with(lines).with(targets).init();
    let clock =
        Clock::new(ClockSkew { offset: command.offset.saturating_mul(1_000_000), drift_ppm: command.drift });
    let options =
        Options { name: command.name, listen: command.listen, state: command.state, plan, keys, clock };
    let path = command.budgets;
    let again = move || read(&path).inspect_err(|e| tracing::warn!("{e}")).ok();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(options, again))?;
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
