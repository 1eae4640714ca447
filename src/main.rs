//! The command line of the node.

use bpaf::Bpaf;
use std::process::ExitCode;

/// A node that dispatches jobs to backend servers by Redemptive Fair Queuing
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Serve clients until told to stop
    #[bpaf(command)]
    Serve,
    /// Print the version
    #[bpaf(command)]
    Version,
}

fn main() -> ExitCode {
    match command().run() {
        Command::Version => println!("shorepath {}", env!("CARGO_PKG_VERSION")),
        Command::Serve => std::thread::park(),
    }
    ExitCode::SUCCESS
}
