//! The platform of a small deployment: starts, signals and watches the project's daemons.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::group::{read_line, Group, GroupOptions, OTHER_SERVICE, SERVICE};
use crate::record::Record;
use crate::store::Store;

/// Processes that were started and may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        Command::new("kill")
            .arg("-KILL")
            .arg(id.to_string())
            .stderr(Stdio::null())
            .status()
            .ok();
    }
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    /// The members of the first service.
    pub group: Arc<Group>,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Site {
    pub fn start(hosts: usize, options: GroupOptions, config: &str, record: Arc<Record>) -> Site {
        let prompt = GroupOptions {
            lag: Duration::ZERO,
            ..options
        };
        let group = Group::start(SERVICE, 3, options, record.clone());
        let other = Group::start(OTHER_SERVICE, 3, prompt, record.clone());
        let (first, second, noted) = (group.clone(), other.clone(), record.clone());
        let store = Store::start(Box::new(move |service, id, holder, fence| {
            noted.line(&format!(
                "failover of {service} to {id} by {holder}, fence {fence}"
            ));
            match service {
                SERVICE => first.promote(id),
                _ => second.promote(id),
            }
        }));
        store.put("op", "config", config);
        group.register(&store);
        other.register(&store);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let daemons = (0..hosts)
            .map(|index| Daemon::prepare(index, &folder, &store))
            .collect();
        let mut site = Site {
            record,
            store,
            group,
            daemons,
            folder,
        };
        for index in 0..hosts {
            site.start_daemon(index);
        }
        site
    }

    pub fn start_daemon(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        // The command of the deploy file, with the path of the settings.
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&daemon.log);
        let child = Command::new("target/release/cassiad")
            .args(["--managed", "--settings"])
            .arg(&daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("cannot start target/release/cassiad: {error}");
            std::process::exit(2);
        });
        self.record
            .line(&format!("{} starts, process {}", daemon.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        daemon.child = Some(child);
    }

    /// Waits until all daemons are ready. Returns whether they are.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.daemons.iter().all(Daemon::is_ready) {
                self.record.line("all daemons are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn signal(&self, index: usize, signal: &str) {
        let daemon = &self.daemons[index];
        let Some(child) = &daemon.child else { return };
        self.record.line(&format!("SIG{signal} to {}", daemon.name));
        let sent = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            self.record.line("the signal could not be sent");
        }
    }

    /// Waits for the end of a daemon, and kills it at `limit`. Returns whether it ended by itself.
    pub fn await_end(&mut self, index: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let daemon = &mut self.daemons[index];
        let Some(mut child) = daemon.child.take() else {
            return true;
        };
        while Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                self.record
                    .line(&format!("{} has ended: {status}", daemon.name));
                STARTED.lock().unwrap().retain(|id| *id != child.id());
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.line(&format!("SIGKILL to {}", daemon.name));
        child.kill().ok();
        child.wait().ok();
        STARTED.lock().unwrap().retain(|id| *id != child.id());
        false
    }

    /// Returns the resident memory of a daemon in MB, or `None` if it does not run.
    pub fn memory_mb(&mut self, index: usize) -> Option<f64> {
        let child = self.daemons[index].child.as_mut()?;
        if !matches!(child.try_wait(), Ok(None)) {
            return None;
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib / 1024.0)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

impl Daemon {
    fn prepare(index: usize, folder: &Path, store: &Arc<Store>) -> Daemon {
        let store = store.open();
        let ports: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a loopback port"))
            .collect();
        let at = |index: usize| ports[index].local_addr().expect("an address");
        // The daemons are in different zones, so that each reads the store itself.
        let zone = ["na-a", "cp-a"][index % 2];
        let name = format!("edge-{zone}-1");
        let settings = folder.join(format!("{name}.toml"));
        // As deploy/entry.toml is filled in.
        let text = format!(
            "host = \"{name}\"\ndata_centre = \"{zone}\"\ncaller_address = \"{}\"\n\
             readiness_address = \"{}\"\nmetrics_address = \"{}\"\nrelay_address = \"{}\"\n\
             grace_s = 6\ndescriptor_limit = 8400\npromotion_address = \"{store}\"\n\
             [regions]\nna-a = \"north-atlantic\"\ncp-a = \"central-plains\"\n\
             wc-a = \"west-coast\"\n[store]\naddress = \"{store}\"\n",
            at(0),
            at(1),
            at(2),
            at(3)
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        Daemon {
            log: folder.join(format!("{name}.log")),
            front: at(0),
            ready: at(1),
            name,
            settings,
            child: None,
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))
        else {
            return false;
        };
        stream
            .set_read_timeout(Some(Duration::from_millis(500)))
            .ok();
        let request = "GET /v1/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        let mut answer = String::new();
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }
}

/// A client's session.
pub struct Client {
    pub name: String,
    stream: TcpStream,
    input: BufReader<TcpStream>,
    record: Arc<Record>,
}

/// The end of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done {
        rows: Vec<String>,
    },
    Refused(String),
    /// The connection ended before the answer was complete.
    Cut,
    /// No complete answer within the client's time.
    Silent,
}

impl Client {
    pub fn connect(
        name: &str,
        front: SocketAddr,
        start: &str,
        record: &Arc<Record>,
    ) -> Result<Client, String> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(2))
            .map_err(|error| error.to_string())?;
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok();
        let input = BufReader::new(stream.try_clone().map_err(|error| error.to_string())?);
        let mut client = Client {
            name: name.to_owned(),
            stream,
            input,
            record: record.clone(),
        };
        client
            .stream
            .write_all(format!("CONNECT {start}\r\n").as_bytes())
            .map_err(|error| error.to_string())?;
        let answer = read_line(&mut client.input).unwrap_or_default();
        record.line(&format!("client {name} CONNECT {start}: {answer}"));
        match answer.starts_with("READY") {
            true => Ok(client),
            false => Err(answer),
        }
    }

    /// Sends a request and waits for its answer.
    pub fn query(&mut self, id: &str, text: &str, limit: Duration) -> Answer {
        let sent_at = self.record.now_ms();
        self.record
            .line(&format!("client {} sends {id} {text}", self.name));
        let answer = self.exchange(id, text, limit);
        let took = self.record.now_ms() - sent_at;
        let shown: String = format!("{answer:?}").chars().take(120).collect();
        self.record.line(&format!(
            "client {} has for {id} after {took} ms: {shown}",
            self.name
        ));
        answer
    }

    fn exchange(&mut self, id: &str, text: &str, limit: Duration) -> Answer {
        self.stream.set_read_timeout(Some(limit)).ok();
        if self
            .stream
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
            .is_err()
        {
            return Answer::Cut;
        }
        let mut rows = Vec::new();
        let mut result = None;
        let started = Instant::now();
        loop {
            let Some(line) = read_line(&mut self.input) else {
                return match started.elapsed() >= limit {
                    true => Answer::Silent,
                    false => Answer::Cut,
                };
            };
            match line.split(' ').next().unwrap_or("") {
                "ROW" => rows.push(line.chars().skip(4).take(20).collect()),
                "COMPLETE" => {
                    result = Some(Answer::Done {
                        rows: std::mem::take(&mut rows),
                    })
                }
                "ERROR" => result = Some(Answer::Refused(line)),
                _ => return result.unwrap_or(Answer::Cut),
            }
        }
    }
}
