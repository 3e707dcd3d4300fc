//! The daemon, which runs as an entry host or beside a backend server.

fn main() -> std::process::ExitCode {
    crocustiller::daemon::run()
}
