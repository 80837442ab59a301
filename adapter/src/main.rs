//! Serves [`ochreshed_adapter::serve`] on standard input and output. An error is written as one line to standard error, and
//! the process exits with a failure code.

use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(INPUT_BUFFER_BYTES, stdin().lock());
    match ochreshed_adapter::serve(input, BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ochreshed-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
