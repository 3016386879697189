//! Stand-ins for clients, workers and the platform, and the start of the project's own programs.
//!
//! Only the standard library is used. Everything listens on loopback addresses.

use std::{
    collections::{BTreeMap, VecDeque},
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(key),
            _ => None,
        }
    }
    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> Option<String> {
        match self.get(key) {
            Some(Json::Text(text)) => Some(text.clone()),
            _ => None,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = match parse_value(bytes, at)? {
                            Json::Text(key) => key,
                            _ => return None,
                        };
                        skip_space(bytes, at);
                        (*bytes.get(*at)? == b':').then_some(())?;
                        *at += 1;
                        fields.insert(key, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(rows));
                    }
                    b',' => *at += 1,
                    _ => rows.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                let byte = *bytes.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return String::from_utf8(text).ok().map(Json::Text),
                    b'\\' => {
                        let escaped = *bytes.get(*at)?;
                        *at += 1;
                        match escaped {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let code = u32::from_str_radix(digits, 16).ok()?;
                                let mut buffer = [0; 4];
                                let character = char::from_u32(code)?;
                                text.extend(character.encode_utf8(&mut buffer).bytes());
                            }
                            other => text.push(other),
                        }
                    }
                    other => text.push(other),
                }
            }
        }
        _ => {
            let start = *at;
            while *at < bytes.len() && !b",]} \r\n\t".contains(&bytes[*at]) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<fs::File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("record.txt");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }
    pub fn now_ms(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }
    pub fn line(&self, text: &str) {
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }
}

// ---------------------------------------------------------------- HTTP client

/// Sends one request over a channel of its own; returns the status and the body, or nothing.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        request.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        if header.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

// ---------------------------------------------------------------- worker

/// What a worker runs.
struct Run {
    run: u64,
    started: Instant,
    work: Duration,
    fails: bool,
    stopping: Option<Instant>,
}

/// The state of one life of a worker.
struct Life {
    id: String,
    born: u64,
    started: Instant,
    seq: u64,
    state: &'static str,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }
}

pub struct WorkerSetup {
    pub number: usize,
    pub service: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub address: SocketAddr,
    pub agent: SocketAddr,
    pub hold_max_ms: u64,
}

struct WorkerState {
    life: Life,
    /// Whether the process is down: nothing is served or sent.
    down: bool,
    /// Everything that starts fails (grey).
    fails_all: bool,
    /// The next starts get no answer and are carried out after these times.
    late_starts: VecDeque<Duration>,
    /// The answer to the next call that acknowledges ends is lost.
    loses_ack_answer: bool,
    /// The time from a start of the process to its first report.
    first_report: Duration,
    /// The ends that were taken note of: time, task, how.
    noted: Vec<(u64, String, String)>,
    channels: Vec<TcpStream>,
    /// All starts: time, task, run.
    starts: Vec<(u64, String, u64)>,
}

#[derive(Clone)]
pub struct Worker {
    pub setup: Arc<WorkerSetup>,
    shared: Arc<(Mutex<WorkerState>, Condvar)>,
    record: Record,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn new_life(id: &str) -> Life {
    Life {
        id: id.to_owned(),
        born: unix_ms(),
        started: Instant::now(),
        seq: 0,
        state: "ready",
        fence: 0,
        lease_until_ms: 0,
        running: BTreeMap::new(),
        closed: BTreeMap::new(),
        ended: Vec::new(),
        last_end: 0,
    }
}

impl Worker {
    pub fn start(setup: WorkerSetup, record: Record) -> Self {
        let id = format!("i-{:08x}", 0x7f3a_0000 + setup.number);
        let state = WorkerState {
            life: new_life(&id),
            down: false,
            fails_all: false,
            late_starts: VecDeque::new(),
            loses_ack_answer: false,
            first_report: Duration::ZERO,
            noted: Vec::new(),
            channels: Vec::new(),
            starts: Vec::new(),
        };
        let worker = Self {
            setup: Arc::new(setup),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record,
        };
        let serving = worker.clone();
        thread::spawn(move || serving.serve());
        let ticking = worker.clone();
        thread::spawn(move || ticking.tick());
        let reporting = worker.clone();
        thread::spawn(move || reporting.report_always());
        worker
    }

    pub fn id(&self) -> String {
        self.shared.0.lock().unwrap().life.id.clone()
    }
    pub fn born(&self) -> u64 {
        self.shared.0.lock().unwrap().life.born
    }
    pub fn name(&self) -> String {
        format!("worker {} ({})", self.setup.number, self.setup.rack)
    }
    pub fn starts(&self) -> Vec<(u64, String, u64)> {
        self.shared.0.lock().unwrap().starts.clone()
    }
    pub fn running(&self) -> Vec<(String, u64)> {
        let state = self.shared.0.lock().unwrap();
        let runs = state.life.running.iter();
        runs.map(|(task, run)| (task.clone(), run.run)).collect()
    }
    pub fn set_fails_all(&self, fails: bool) {
        self.shared.0.lock().unwrap().fails_all = fails;
        self.record.line(&format!("{} fails all that it starts: {fails}", self.name()));
    }
    pub fn carry_out_late(&self, delays: &[u64]) {
        let mut state = self.shared.0.lock().unwrap();
        state.late_starts = delays.iter().map(|ms| Duration::from_millis(*ms)).collect();
    }
    pub fn lose_ack_answer(&self) {
        self.shared.0.lock().unwrap().loses_ack_answer = true;
    }
    pub fn has_lost_ack_answer(&self) -> bool {
        !self.shared.0.lock().unwrap().loses_ack_answer
    }
    pub fn set_first_report(&self, after: Duration) {
        self.shared.0.lock().unwrap().first_report = after;
    }
    pub fn noted(&self) -> Vec<(u64, String, String)> {
        self.shared.0.lock().unwrap().noted.clone()
    }
    /// The process crashes: all that runs is gone, its channels are reset, nothing listens.
    pub fn crash(&self) {
        let mut state = self.shared.0.lock().unwrap();
        self.crash_locked(&mut state);
    }

    fn crash_locked(&self, state: &mut WorkerState) {
        state.down = true;
        let lost: Vec<_> = state.life.running.keys().cloned().collect();
        self.record.line(&format!("{} crashes with {lost:?}", self.name()));
        state.life.running.clear();
        for channel in state.channels.drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.shared.1.notify_all();
    }

    /// The process starts again under its id, and knows nothing of before.
    pub fn restart(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let id = state.life.id.clone();
        state.life = new_life(&id);
        state.down = false;
        let born = state.life.born;
        self.record.line(&format!("{} is back under its id, born {born}", self.name()));
    }

    fn is_down(&self) -> bool {
        self.shared.0.lock().unwrap().down
    }

    fn serve(&self) {
        loop {
            while self.is_down() {
                thread::sleep(Duration::from_millis(5));
            }
            let Ok(listener) = TcpListener::bind(self.setup.address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            while !self.is_down() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        let mut state = self.shared.0.lock().unwrap();
                        state.channels.push(stream.try_clone().unwrap());
                        drop(state);
                        let worker = self.clone();
                        thread::spawn(move || worker.serve_channel(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    }

    fn serve_channel(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let path = line.split(' ').nth(1).unwrap_or("").to_owned();
            let (mut length, mut expected) = (0, String::new());
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
                let Some((name, value)) = header.split_once(':') else { continue };
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().unwrap_or(0);
                }
                if name.eq_ignore_ascii_case("roseridge-expect-instance") {
                    expected = value.trim().to_owned();
                }
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            let Some((status, reply)) = self.answer(&path, &expected, &body) else {
                return;
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                reply.len()
            );
            if writer.write_all(format!("{head}{reply}").as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call; `None` if the process is down or hangs.
    fn answer(&self, path: &str, expected: &str, body: &str) -> Option<(u16, String)> {
        let body = Json::parse(body)?;
        let mut state = self.shared.0.lock().unwrap();
        if state.down {
            return None;
        }
        let clock_ms = state.life.clock_ms();
        if expected != state.life.id {
            return Some((421, format!("{{\"clock_ms\":{clock_ms}}}")));
        }
        let refuse = |reason: &str| Some((409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}")));
        let fence = body.number("fencing_token").unwrap_or(0);
        if fence < state.life.fence {
            return refuse("fence");
        }
        state.life.fence = fence;
        let hold_max_ms = self.setup.hold_max_ms;
        let lease = |state: &mut WorkerState| {
            if let Some(until_ms) = body.number("deadline_ms") {
                let until_ms = until_ms.min(clock_ms + hold_max_ms);
                state.life.lease_until_ms = state.life.lease_until_ms.max(until_ms);
            }
        };
        match path {
            "/api/hold" => {
                lease(&mut state);
                let cursor = body.number("ack_cursor").unwrap_or(0);
                let seen: Vec<_> = state.life.ended.iter().filter(|e| e.0 <= cursor).cloned().collect();
                for (_, task, run, how) in seen {
                    self.record.line(&format!("{} end of {task} run {run} {how} is taken note of", self.name()));
                    let at = self.record.now_ms();
                    state.noted.push((at, task, how.to_owned()));
                }
                state.life.ended.retain(|end| end.0 > cursor);
                if state.loses_ack_answer && cursor > 0 {
                    state.loses_ack_answer = false;
                    let name = self.name();
                    self.record.line(&format!("{name} carries out ack_cursor {cursor}; its answer is lost"));
                    drop(state);
                    thread::sleep(Duration::from_secs(2));
                    return None;
                }
                let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                while state.life.ended.is_empty() && !state.down && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
                if state.down {
                    return None;
                }
                Some((200, list_body(&state.life)))
            }
            "/api/run-start" => {
                if let Some(delay) = state.late_starts.pop_front() {
                    let text = body.text("task")?;
                    let name = self.name();
                    self.record.line(&format!("{name} leaves the start of {text} unanswered, for {delay:?}"));
                    let worker = self.clone();
                    let late = body.clone();
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let mut state = worker.shared.0.lock().unwrap();
                        let answer = match state.down {
                            true => None,
                            false => worker.start_run(&mut state, &late),
                        };
                        worker.record.line(&format!("{name} carries out the start of {text} late: {answer:?}"));
                    });
                    drop(state);
                    thread::sleep(Duration::from_secs(2));
                    return None;
                }
                self.start_run(&mut state, &body)
            }
            "/api/run-stop" => {
                let (task, run) = (body.text("task")?, body.number("run_id")?);
                self.record.line(&format!("{} is told to stop {task} run {run}", self.name()));
                match state.life.running.get_mut(&task) {
                    Some(known) if known.run == run => {
                        known.stopping.get_or_insert(Instant::now());
                    }
                    Some(_) => {}
                    None => {
                        let closed = state.life.closed.entry(task).or_default();
                        *closed = run.max(*closed);
                    }
                }
                Some((200, format!("{{\"clock_ms\":{clock_ms}}}")))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Carries out the order to start a run.
    fn start_run(&self, state: &mut WorkerState, body: &Json) -> Option<(u16, String)> {
        let clock_ms = state.life.clock_ms();
        let refuse = |reason: &str| Some((409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}")));
        let fence = body.number("fencing_token").unwrap_or(0);
        if fence < state.life.fence {
            return refuse("fence");
        }
        state.life.fence = fence;
        let hold_max_ms = self.setup.hold_max_ms;
        let lease = |state: &mut WorkerState| {
            if let Some(until_ms) = body.number("deadline_ms") {
                let until_ms = until_ms.min(clock_ms + hold_max_ms);
                state.life.lease_until_ms = state.life.lease_until_ms.max(until_ms);
            }
        };
        let (task, run) = (body.text("task")?, body.number("run_id")?);
        let known = state.life.running.get(&task).map(|run| run.run);
        if known == Some(run) {
            lease(state);
            return Some((200, format!("{{\"clock_ms\":{clock_ms}}}")));
        }
        if state.life.closed.get(&task).is_some_and(|closed| run <= *closed) || known.is_some() {
            lease(state);
            return refuse("old");
        }
        if body.number("deadline_ms").unwrap_or(0) <= clock_ms {
            return refuse("late");
        }
        lease(state);
        let spec = body.text("spec").unwrap_or_default();
        let work_ms = spec.split("work=").nth(1).and_then(|t| t.split(' ').next()?.parse().ok());
        let fails = state.fails_all;
        let work = match fails {
            true => Duration::from_millis(300),
            false => Duration::from_millis(work_ms.unwrap_or(1_000)),
        };
        self.record.line(&format!("{} starts {task} run {run}", self.name()));
        let at = self.record.now_ms();
        state.starts.push((at, task.clone(), run));
        let started = Instant::now();
        state.life.running.insert(task, Run { run, started, work, fails, stopping: None });
        Some((200, format!("{{\"clock_ms\":{clock_ms}}}")))
    }

    fn tick(&self) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut state = self.shared.0.lock().unwrap();
            if state.down {
                continue;
            }
            let lapsed = state.life.clock_ms() > state.life.lease_until_ms;
            let mut ends = Vec::new();
            for (task, run) in &state.life.running {
                let how = match run {
                    _ if lapsed => "lapsed",
                    run if run.stopping.is_some_and(|at| at.elapsed() >= Duration::from_millis(50)) => "stopped",
                    run if run.started.elapsed() >= run.work => match run.fails {
                        true => "failed",
                        false => "done",
                    },
                    _ => continue,
                };
                ends.push((task.clone(), run.run, how));
            }
            for (task, run, how) in ends {
                state.life.running.remove(&task);
                let closed = state.life.closed.entry(task.clone()).or_default();
                *closed = run.max(*closed);
                state.life.last_end += 1;
                let number = state.life.last_end;
                self.record.line(&format!("{} ends {task} run {run} {how}", self.name()));
                state.life.ended.push((number, task, run, how));
                self.shared.1.notify_all();
            }
        }
    }

    fn report_always(&self) {
        loop {
            if let Some((path, body)) = self.report_body() {
                let answer = call(self.setup.agent, "PUT", &path, &[], &body, Duration::from_secs(1));
                if self.report_state() == "draining" {
                    let status = answer.map(|(status, _)| status);
                    self.record.line(&format!("{} reports draining: {status:?}", self.name()));
                }
            }
            thread::sleep(Duration::from_millis(1_500));
        }
    }

    fn report_state(&self) -> &'static str {
        self.shared.0.lock().unwrap().life.state
    }

    fn report_body(&self) -> Option<(String, String)> {
        let mut state = self.shared.0.lock().unwrap();
        if state.down || state.life.started.elapsed() < state.first_report {
            return None;
        }
        state.life.seq += 1;
        let life = &state.life;
        let setup = &self.setup;
        let remaining = match life.state {
            "draining" => ",\"remaining_ms\":20000",
            _ => "",
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":32000,\"mem_mb\":131072,\"gpus\":8}},\
             \"labels\":[\"{}\",\"{}\"],\"clock_ms\":{},\"born\":{},\"seq\":{}{remaining}}}",
            setup.service, setup.address, setup.zone, life.state, setup.kind, setup.rack,
            life.clock_ms(), life.born, life.seq
        );
        Some((format!("/api/instances/{}", life.id), body))
    }
}

fn list_body(life: &Life) -> String {
    let running = life.running.iter().map(|(task, run)| {
        let percent = run.started.elapsed().as_millis() * 100 / run.work.as_millis().max(1);
        format!("[\"{task}\",{},\"\",{},100]", run.run, percent.min(99))
    });
    let ended = life.ended.iter().take(500);
    let ended = ended.map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended_runs\":[{}]}}",
        life.clock_ms(),
        life.born,
        running.collect::<Vec<_>>().join(","),
        ended.collect::<Vec<_>>().join(",")
    )
}

// ---------------------------------------------------------------- deployment

pub const HOST: &str = "nony24.example";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
pub const SERVICE: &str = "payrun";
pub const ZONES: [&str; 3] = ["ain-sebaa", "sidi-maarouf", "bouskoura"];
pub const HOLD_MAX_MS: u64 = 6_000;
pub const WORKERS: usize = 11;
/// Priority 0, 1 and 2, as at the small site.
pub const URGENT: &str = "/sameday/";
pub const MIDDLE: &str = "/recon/";
pub const BULK: &str = "/advice/";

/// The programs that this process has started, by name.
static PROGRAMS: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Ends all programs that this process has started.
pub fn end_programs() {
    for (_, mut child) in PROGRAMS.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A small deployment: three control processes with disks, three entries, and agents beside workers.
pub struct Deployment {
    pub folder: PathBuf,
    pub record: Record,
    pub controls: Vec<SocketAddr>,
    pub entries: Vec<SocketAddr>,
    pub workers: Vec<Worker>,
    net: (u8, u8),
}

impl Drop for Deployment {
    fn drop(&mut self) {
        end_programs();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn exit_unrunnable(why: &str) -> ! {
    eprintln!("can't run: {why}");
    end_programs();
    std::process::exit(2);
}

impl Deployment {
    /// Starts everything with eleven workers of one kind, four, four and three in a zone and three a rack, and
    /// sets the desired state.
    pub fn start(record: Record) -> Self {
        let seed = unix_ms() ^ u64::from(std::process::id()) << 7;
        let mut net = None;
        for offset in 0..200u64 {
            let mixed = (seed + offset * 7_919).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let candidate = (64 + (mixed >> 33) as u8 % 120, 1 + (mixed >> 41) as u8 % 250);
            let ports = [7_000, 7_015, 8_521, 8_523, 8_526, 8_529];
            let free = (2..40).all(|host| {
                ports.iter().all(|port| {
                    let ip = Ipv4Addr::new(127, candidate.0, candidate.1, host);
                    TcpListener::bind(SocketAddrV4::new(ip, *port)).is_ok()
                })
            });
            if free {
                net = Some(candidate);
                break;
            }
        }
        let Some(net) = net else { exit_unrunnable("no free loopback addresses") };
        let folder = std::env::temp_dir().join(format!("review-{}-{seed:x}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|e| exit_unrunnable(&e.to_string()));
        let address = |host: u8, port: u16| {
            SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, net.0, net.1, host), port))
        };
        let mut deployment = Self {
            folder,
            record: record.clone(),
            controls: (0..3).map(|n| address(2 + n, 8_526)).collect(),
            entries: (0..3).map(|n| address(10 + n, 8_521)).collect(),
            workers: Vec::new(),
            net,
        };
        for number in 0..3 {
            deployment.start_control(number);
        }
        for number in 0..3 {
            deployment.start_entry(number);
        }
        for number in 0..WORKERS {
            let host = 20 + number as u8;
            let setup = WorkerSetup {
                number,
                service: SERVICE.to_owned(),
                zone: ZONES[number / 4].to_owned(),
                kind: "a".to_owned(),
                rack: format!("r{}-{}", number / 4 + 1, number % 4 / 3 + 1),
                address: address(host, 8_529),
                agent: address(host, 8_526),
                hold_max_ms: HOLD_MAX_MS,
            };
            deployment.workers.push(Worker::start(setup, record.clone()));
            deployment.start_agent(number);
        }
        deployment.configure(7);
        deployment
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, self.net.0, self.net.1, host), port))
    }

    fn base_settings(&self, name: &str, host: u8, zone: &str) -> String {
        let seeds: Vec<_> = self.controls.iter().map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "[instance]\nname = \"{name}\"\ncluster = \"roseridge\"\ndomain = \"{zone}\"\n\n\
             [installation]\nadapter = \"platform\"\naddress = \"{}\"\ncontrol_port = 7000\n\
             seeds = [{}]\nstop_grace_s = 6\n\n\
             [flows]\nlease_ms = {HOLD_MAX_MS}\nrestore_ms = 600\n\n",
            self.address(host, 1).ip(),
            seeds.join(", ")
        )
    }

    fn launch(&mut self, name: &str, program: &str, arguments: &[&str], text: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).unwrap_or_else(|e| exit_unrunnable(&e.to_string()));
        let log_path = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log_path).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(program)
            .args(arguments)
            .arg("--settings")
            .arg(&path)
            .env("ROSERIDGE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => PROGRAMS.lock().unwrap().push((name.to_owned(), child)),
            Err(error) => exit_unrunnable(&format!("{program}: {error}")),
        }
    }

    fn start_control(&mut self, number: usize) {
        let host = 2 + number as u8;
        let name = format!("control-{number}");
        let text = format!(
            "{}[group]\noperators = \"{}\"\ndata_folder = \"{}\"\nfound = true\nlosses = 1\n",
            self.base_settings(&name, host, ZONES[number]),
            self.address(host, 8_526),
            self.folder.join(format!("disk-{number}")).display()
        );
        self.launch(&name, "target/release/roseridge", &["serve"], &text);
    }

    fn start_entry(&mut self, number: usize) {
        let host = 10 + number as u8;
        let name = format!("entry-{number}");
        let text = format!(
            "{}[callers]\nlisten = \"{}\"\nhealth = \"{}\"\nrelay_port = 7015\n",
            self.base_settings(&name, host, ZONES[number]),
            self.address(host, 8_521),
            self.address(host, 8_523)
        );
        self.launch(&name, "target/release/roseridge", &["serve"], &text);
    }

    fn start_agent(&mut self, number: usize) {
        let host = 20 + number as u8;
        let name = format!("agent-{number}");
        let text = format!(
            "{}[runner]\nlisten = \"{}\"\nbackend = \"{}\"\n",
            self.base_settings(&name, host, ZONES[number / 4]),
            self.address(host, 8_526),
            self.address(host, 8_529)
        );
        self.launch(&name, "target/release/roseridge-agent", &[], &text);
    }

    /// Sends the desired state until it is acknowledged.
    fn configure(&self, version: u64) {
        let route = |name: &str, prefix: &str, priority: u32, attempts: u32| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"non_idempotent\",\
                 \"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":{priority},\"service\":\"{SERVICE}\",\
                 \"max_attempts\":{attempts},\"stretch\":3.0,\"public\":false}}"
            )
        };
        let routes = [
            route("r-1", URGENT, 0, 2),
            route("r-2", MIDDLE, 1, 3),
            route("r-3", BULK, 2, 3),
        ];
        let body = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
             \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_control\":false,\"standby\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"kaje80\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"guaranteed\":{{\"gpus\":16}}}}]}}",
            routes.join(",")
        );
        let until = Instant::now() + Duration::from_secs(20);
        let mut turn = 0;
        while Instant::now() < until {
            let address = self.controls[turn % 3];
            turn += 1;
            let answer = call(address, "PUT", "/api/config", &[], &body, Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status == 200) {
                self.record.line(&format!("desired state {version} is acknowledged"));
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        exit_unrunnable("the desired state isn't acknowledged");
    }

    /// Calls an entry as a client: again at another entry after no answer, 429, 502, 503 or 504.
    pub fn client(&self, method: &str, path: &str, body: &str, tries: usize) -> Option<(u16, String)> {
        let headers = [
            ("Host", HOST),
            ("Roseridge-Credential", KEY),
            ("Roseridge-Deadline-Ms", "3000"),
        ];
        let mut last = None;
        for turn in 0..tries {
            let entry = self.entries[(turn + self.record.now_ms() as usize) % 3];
            last = call(entry, method, path, &headers, body, Duration::from_secs(3));
            match &last {
                Some((status, _)) if ![429, 502, 503, 504].contains(status) => return last,
                _ => thread::sleep(Duration::from_millis(1_000)),
            }
        }
        last
    }

    /// Hands a job in; returns whether it was accepted.
    pub fn submit(&self, prefix: &str, id: &str, body: &str) -> bool {
        let answer = self.client("POST", &format!("{prefix}{id}"), body, 5);
        let status = answer.as_ref().map(|(status, _)| *status);
        self.record.line(&format!("job {prefix}{id} is handed in: {status:?}"));
        status.is_some_and(|status| (200..300).contains(&status))
    }

    /// Reads the state of a job, or the status code if it isn't shown.
    pub fn state(&self, prefix: &str, id: &str) -> String {
        match self.client("GET", &format!("{prefix}{id}"), "", 3) {
            Some((200, body)) => {
                Json::parse(&body).and_then(|body| body.text("state")).unwrap_or_default()
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    pub fn pending(&self, prefix: &str) -> Option<u64> {
        match self.client("GET", prefix, "", 1) {
            Some((200, body)) => Json::parse(&body)?.number("pending"),
            _ => None,
        }
    }

    /// Waits until all workers take work: one short job with a task for each is done.
    pub fn warm_up(&self) {
        thread::sleep(Duration::from_millis(3_500));
        let until = Instant::now() + Duration::from_secs(25);
        let mut number = 0u64;
        while Instant::now() < until {
            number += 1;
            let id = format!("{:016x}", 0xa000_0000_0000_0000u64 + number);
            let body = format!(
                "{{\"spec\":\"work=200 \",\"steps\":[{{\"count\":{},\"cpu\":1000,\"mem_mb\":1000,\"gpus\":8,\"estimate_ms\":200}}]}}",
                self.workers.len()
            );
            if self.submit(BULK, &id, &body) {
                for _ in 0..40 {
                    if self.state(BULK, &id) == "completed" {
                        return;
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            }
            thread::sleep(Duration::from_millis(300));
        }
        exit_unrunnable("the deployment doesn't serve");
    }
}

/// A job of one step with single tasks.
pub fn job(count: usize, gpus: u32, work_ms: u64, requires: &str) -> String {
    let requires = match requires {
        "" => String::new(),
        label => format!(",\"requires\":\"{label}\""),
    };
    format!(
        "{{\"spec\":\"work={work_ms} \",\"steps\":[{{\"count\":{count},\"cpu\":{},\"mem_mb\":1000,\"gpus\":{gpus},\"estimate_ms\":{work_ms}{requires}}}]}}",
        1_000 * gpus
    )
}
