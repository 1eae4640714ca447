//! Runs the scheduler on the simulator's JSON wire, with standard input and standard output.

use std::io::{stdin, stdout, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match shorepath::wire::serve(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("shorepath-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
