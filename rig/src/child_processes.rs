//! The processes that the rig starts, and that it kills when it exits.

use std::{
    collections::BTreeMap,
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
};

use rustix::process::{kill_process, Pid, Signal};

/// The started processes by name; dropping the value kills all of them.
#[derive(Debug)]
pub(crate) struct ChildProcesses {
    log_folder: PathBuf,
    running: Mutex<BTreeMap<String, Child>>,
}

impl ChildProcesses {
    /// Creates an empty set whose processes write their logs to `log_folder`.
    pub(crate) fn new(log_folder: &Path) -> ChildProcesses {
        ChildProcesses { log_folder: log_folder.to_owned(), running: Mutex::default() }
    }

    /// Starts `program`, which must be in the same folder as the rig's own executable.
    ///
    /// Appends the standard output and standard error to `{name}.log`.
    pub(crate) fn spawn(&self, name: &str, program: &str, args: &[String]) -> io::Result<()> {
        let path = sibling_program(program)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_folder.join(format!("{name}.log")))?;
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|err| {
                io::Error::new(err.kind(), format!("failed to start {}: {err}", path.display()))
            })?;
        self.running.lock().unwrap().insert(name.to_owned(), child);
        Ok(())
    }

    /// Returns the process id, or `None` if no such process was started or it was killed.
    pub(crate) fn pid(&self, name: &str) -> Option<u32> {
        self.running.lock().unwrap().get(name).map(Child::id)
    }

    /// Returns the names of the processes that exited without being killed by the rig.
    pub(crate) fn exited(&self) -> Vec<String> {
        let mut running = self.running.lock().unwrap();
        let has_exited = |child: &mut Child| !matches!(child.try_wait(), Ok(None));
        let exited = running.iter_mut().filter_map(|(name, it)| has_exited(it).then_some(name));
        exited.cloned().collect()
    }

    /// Kills a process with SIGKILL and waits for it to exit.
    pub(crate) fn kill(&self, name: &str) {
        let child = self.running.lock().unwrap().remove(name);
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Pauses a process with SIGSTOP; its connections stay open.
    pub(crate) fn pause(&self, name: &str) {
        self.signal(name, Signal::STOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub(crate) fn resume(&self, name: &str) {
        self.signal(name, Signal::CONT);
    }

    fn signal(&self, name: &str, signal: Signal) {
        let pid = self.pid(name).and_then(|it| Pid::from_raw(it as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for ChildProcesses {
    fn drop(&mut self) {
        let running = std::mem::take(self.running.get_mut().unwrap());
        let mut children: Vec<Child> = running.into_values().collect();
        for child in &mut children {
            let _ = child.kill();
        }
        for child in &mut children {
            let _ = child.wait();
        }
    }
}

fn sibling_program(program: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let path = own.with_file_name(program);
    if path.exists() {
        return Ok(path);
    }
    let message = format!("{} is missing; run `cargo build --release --workspace`", path.display());
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}
