//! Child processes of experiments and tests.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::resource;
use serde::de::DeserializeOwned;

/// How long a process may take to print its ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running process; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: PathBuf,
    ready: serde_json::Value,
}

/// Returns the path of a workspace binary in the directory of the running one or in its parent.
///
/// # Panics
///
/// Panics if the binary has not been built.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a running program has a path");
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.exists());
    found.unwrap_or_else(|| panic!("{name} is not built: run cargo build --workspace"))
}

impl Process {
    /// Starts a program, and waits until it prints its ready line.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started, exits early or does not become ready in time.
    pub async fn start(program: &Path, args: &[String], env: &[(&str, &str)]) -> Process {
        Process::start_until(program, args, env, "ready").await
    }

    /// Starts a program, and waits until it prints a line with this event, whose fields
    /// [`ready`](Process::ready) returns.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started, exits early or does not print such a line in time.
    pub async fn start_until(
        program: &Path,
        args: &[String],
        env: &[(&str, &str)],
        event: &str,
    ) -> Process {
        let output = temporary_file("out");
        let file = std::fs::File::create(&output).expect("a temporary file");
        let mut command = Command::new(program);
        for (name, _) in std::env::vars_os() {
            // Settings in the environment of the test must not reach the child.
            if name.as_encoded_bytes().starts_with(b"BASILHAVEN_") {
                command.env_remove(name);
            }
        }
        let child = command
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::piped())
            .stdout(file)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("a program that was built");
        let mut process = Process { child, output, ready: serde_json::Value::Null };
        process.wait_until_ready(program, event).await;
        process
    }

    async fn wait_until_ready(&mut self, program: &Path, event: &str) {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let ready = self.lines().into_iter().find(|line| line["event"] == event);
            if let Some(ready) = ready {
                self.ready = ready;
                return;
            }
            let exited = self.child.try_wait().expect("a child can be waited for");
            assert!(exited.is_none(), "{} exited early: {exited:?}", program.display());
            assert!(Instant::now() < until, "{} is not ready in time", program.display());
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns a field of the ready line.
    ///
    /// # Panics
    ///
    /// Panics if there is no such field of this type.
    pub fn ready<T>(&self, field: &str) -> T
    where
        T: DeserializeOwned,
    {
        serde_json::from_value(self.ready[field].clone()).expect("a field of the ready line")
    }

    /// Returns the text printed so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Returns the JSON lines printed so far.
    pub fn lines(&self) -> Vec<serde_json::Value> {
        json_lines(&self.output()).collect()
    }

    /// Returns how many of the JSON lines printed so far have this event.
    pub fn event_count(&self, event: &str) -> usize {
        self.lines().iter().filter(|line| line["event"] == event).count()
    }

    /// Returns the CPU time that the process has used so far, in user and system mode.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited.
    pub fn cpu_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let stat = stat.expect("a running process");
        // The program name in parentheses may contain spaces. User and system time are the 12th and
        // 13th field after it, in hundredths of a second.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u64 = fields.skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 10)
    }

    /// Returns the resident memory of the process, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited.
    pub fn resident_bytes(&self) -> u64 {
        self.memory("VmRSS:")
    }

    /// Returns the peak resident memory of the process, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited.
    pub fn peak_bytes(&self) -> u64 {
        self.memory("VmHWM:")
    }

    /// Returns a memory size from `/proc/PID/status`, in bytes.
    fn memory(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.expect("a running process");
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.expect("a size of a running process") * 1024
    }

    /// Sends a signal.
    ///
    /// # Panics
    ///
    /// Panics if the process has already been waited for.
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Kill => "-KILL",
            Signal::Reload => "-HUP",
        };
        let status = Command::new("kill").args([name, &self.id().to_string()]).status();
        assert!(status.is_ok_and(|s| s.success()), "could not send the signal {name}");
    }

    /// Waits for the process to exit. Returns whether it exited successfully, or `None` if it did
    /// not exit within `limit`.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub async fn wait(&mut self, limit: Duration) -> Option<bool> {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child can be waited for") {
                return Some(status.success());
            }
            if Instant::now() >= until {
                return None;
            }
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// A signal to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// `SIGTERM`: asks the process to stop.
    Terminate,
    /// `SIGSTOP`: pauses the process.
    Stop,
    /// `SIGCONT`: resumes the process.
    Continue,
    /// `SIGKILL`: ends the process immediately.
    Kill,
    /// `SIGHUP`: notifies the process that its settings have changed.
    Reload,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The first two fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.output);
    }
}

/// Raises the limit on the descriptors of this process, and of those that it starts, if it is lower.
///
/// # Panics
///
/// Panics if the operating system refuses.
pub fn allow_descriptors(count: u64) {
    let (soft, hard) = resource::getrlimit(resource::Resource::RLIMIT_NOFILE).expect("a limit");
    if soft < count {
        let set = resource::setrlimit(resource::Resource::RLIMIT_NOFILE, count.min(hard), hard);
        set.expect("a limit below the hard one");
    }
}

/// Returns the lines of a text that are JSON. They take ten times the memory of the text.
pub fn json_lines(text: &str) -> impl Iterator<Item = serde_json::Value> + '_ {
    text.lines().filter_map(|line| serde_json::from_str(line).ok())
}

/// Returns a new path for a temporary file with this extension.
pub fn temporary_file(extension: &str) -> PathBuf {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("basilhaven-{}-{number}.{extension}", std::process::id()))
}
