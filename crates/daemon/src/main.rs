//! `troutknotd`: runs a node with the configuration file whose path is in `ROUTER_CONFIG`.
use std::process::ExitCode;
use troutknot_daemon::{log_to_stdout, path_from_environment, start};

fn main() -> ExitCode {
    let _log = log_to_stdout();
    match path_from_environment().and_then(|path| start(&path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("troutknotd: {error}");
            ExitCode::FAILURE
        }
    }
}
