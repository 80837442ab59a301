//! The adapter's program: serves `ochreshed_adapter::serve` over standard input and output, and ends with a failure
//! code and one line on standard error when that ends with an error.

use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, stdin().lock());
    match ochreshed_adapter::serve(input, BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("ochreshed-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}
