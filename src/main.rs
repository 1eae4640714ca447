//! The command line of the node.

use bpaf::Bpaf;
use shorepath::net::config::{Config, ConfigError};
use shorepath::net::Handing;
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
        /// The configuration, a JSON file
        #[bpaf(long, short, argument("FILE"), env("ROUTER_CONFIG"), optional)]
        config: Option<PathBuf>,
    },
    /// Check a configuration and say what is wrong with it
    #[bpaf(command)]
    Check {
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

fn run(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        Command::Serve { verbose, no_handover, config } => {
            let path = config.ok_or(ConfigError::Unnamed)?;
            let config = read(Some(&path))?;
            let level = if verbose { Level::DEBUG } else { Level::INFO };
            // Guards against a log that nobody reads any more, or too slowly: lines that can't be
            // written are dropped. Written here, a full pipe would stop the node; and a broken one is
            // complained about on the same standard error by default, which panics.
            let (writer, _flushed_at_the_end) = NonBlockingBuilder::default()
                .buffered_lines_limit(LOG_LINES)
                .lossy(true)
                .finish(std::io::stderr());
            tracing_subscriber::fmt()
                .with_max_level(level)
                .log_internal_errors(false)
                .with_writer(writer)
                .with_target(false)
                .init();
            let handing = if no_handover { Handing::Off } else { Handing::On };
            shorepath::net::serve(config, handing, move || Config::read_again(&path, variable))?;
        }
        Command::Check { config } => {
            let config = read(config.as_deref())?;
            println!("{}: would serve on {}", config.name, config.listen);
        }
        Command::Version => println!("shorepath {}", env!("CARGO_PKG_VERSION")),
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
