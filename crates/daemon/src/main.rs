//! `troutknotd`: one real node, as a program.
use std::process::ExitCode;

fn main() -> ExitCode {
    let _log = troutknot_daemon::log_to_stdout();
    match troutknot_daemon::path_from_environment().and_then(|path| troutknot_daemon::start(&path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("troutknotd: {what}");
            ExitCode::FAILURE
        }
    }
}
