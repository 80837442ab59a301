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
