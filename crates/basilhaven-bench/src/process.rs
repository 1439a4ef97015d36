//! Processes that an experiment or a test starts, and ends itself.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;

/// How long a process may take to say that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: PathBuf,
    ready: serde_json::Value,
}

/// The built program of this name, beside the running one.
///
/// # Panics
///
/// It has not been built.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a running program has a path");
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.exists());
    found.unwrap_or_else(|| panic!("{name} is not built: run cargo build --workspace"))
}

impl Process {
    /// Starts a program, and waits for its ready line.
    ///
    /// # Panics
    ///
    /// It can't be started, ends early, or never gets ready.
    pub async fn start(program: &Path, args: &[String], env: &[(&str, &str)]) -> Process {
        Process::start_until(program, args, env, "ready").await
    }

    /// Starts a program, and waits for a line of this event, whose fields [`ready`](Process::ready) gives.
    ///
    /// # Panics
    ///
    /// It can't be started, ends early, or never prints such a line.
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
            // Settings that an operator's shell holds are not meant for stand-ins.
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
            let ended = self.child.try_wait().expect("a child can be waited for");
            assert!(ended.is_none(), "{} ended early: {ended:?}", program.display());
            assert!(Instant::now() < until, "{} is not ready", program.display());
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// A field of the ready line.
    ///
    /// # Panics
    ///
    /// There is no such field of this type.
    pub fn ready<T>(&self, field: &str) -> T
    where
        T: DeserializeOwned,
    {
        serde_json::from_value(self.ready[field].clone()).expect("a field of the ready line")
    }

    /// The JSON lines printed so far.
    pub fn lines(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(&self.output).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// How many of the JSON lines printed so far are of this event.
    pub fn event_count(&self, event: &str) -> usize {
        self.lines().iter().filter(|line| line["event"] == event).count()
    }

    /// The processor time that the process has used so far.
    ///
    /// # Panics
    ///
    /// It has ended.
    pub fn cpu_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let stat = stat.expect("a running process");
        // The name in brackets may hold spaces; user and system time are the 12th and 13th field
        // behind it, in hundredths of a second.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u64 = fields.skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 10)
    }

    /// The memory that the process holds now, in bytes.
    ///
    /// # Panics
    ///
    /// It has ended.
    pub fn resident_bytes(&self) -> u64 {
        self.memory("VmRSS:")
    }

    /// The most memory that the process has held, in bytes.
    ///
    /// # Panics
    ///
    /// It has ended.
    pub fn peak_bytes(&self) -> u64 {
        self.memory("VmHWM:")
    }

    /// A size of `/proc/PID/status`, in bytes.
    fn memory(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.expect("a running process");
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.expect("a size of a process that has not ended") * 1024
    }

    /// Sends a signal, by number.
    ///
    /// # Panics
    ///
    /// The process has been waited for already.
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Kill => "-KILL",
            Signal::Reload => "-HUP",
        };
        let status = Command::new("kill").args([name, &self.id().to_string()]).status();
        assert!(status.is_ok_and(|s| s.success()), "no signal could be sent");
    }

    /// Waits for the process to end; tells whether it ended in time, and with success.
    ///
    /// # Panics
    ///
    /// It can't be waited for.
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
    /// Asks it to stop.
    Terminate,
    /// Freezes it.
    Stop,
    /// Lets it go on.
    Continue,
    /// Ends it at once.
    Kill,
    /// Tells it that its settings have changed.
    Reload,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only for a process that has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.output);
    }
}

/// A path of this process's own for a file with this ending.
pub fn temporary_file(ending: &str) -> PathBuf {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("basilhaven-{}-{number}.{ending}", std::process::id()))
}
