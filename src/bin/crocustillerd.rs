//! The daemon of crocustiller.

fn main() -> std::process::ExitCode {
    crocustiller::daemon::run()
}
