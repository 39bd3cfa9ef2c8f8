//! Stand-in for the platform's store: logs, newest records by key, and one group.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Member {
    name: String,
    until: Instant,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: Vec<Member>,
    topics: Vec<String>,
    /// Member that holds each partition, and the one that is to hold it.
    held: Vec<Option<String>>,
    due: Vec<String>,
}

#[derive(Default)]
struct Inner {
    logs: HashMap<String, Vec<Vec<u8>>>,
    groups: HashMap<String, Group>,
}

pub struct Store {
    pub address: SocketAddr,
    partitions: usize,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Store {
    pub fn start(partitions: usize) -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let inner = Mutex::new(Inner::default());
        let store = Arc::new(Store { address, partitions, inner, changed: Condvar::new() });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record with a key; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or("").as_bytes());
        let mut inner = self.inner.lock().unwrap();
        inner.logs.entry(format!("{topic}/0")).or_default().push(record);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(message) = http::read_message(&mut reader) {
            thread::sleep(ANSWER_TIME);
            if self.answer(&message, &mut stream).is_err() {
                return;
            }
        }
    }

    fn answer(&self, m: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let number = |name| m.query(name).and_then(|n: &str| n.parse::<usize>().ok());
        let log = format!("{}/{}", m.query("topic").unwrap_or(""), number("part").unwrap_or(0));
        match m.path() {
            "/-/log-append" => {
                let mut inner = self.inner.lock().unwrap();
                let records = inner.logs.entry(log).or_default();
                let offset = records.len();
                if number("at").is_some_and(|at| at != offset) {
                    return http::json(stream, 412, &format!("{{\"end\":{offset}}}"));
                }
                let mut body = &m.body[..];
                while body.len() >= 4 {
                    let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
                    records.push(body[4..4 + length].to_vec());
                    body = &body[4 + length..];
                }
                let end = records.len();
                drop(inner);
                self.changed.notify_all();
                http::json(stream, 200, &format!("{{\"offset\":{offset},\"end\":{end}}}"))
            }
            "/-/log-read" => {
                let from = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                let until = Instant::now() + wait;
                let mut inner = self.inner.lock().unwrap();
                while inner.logs.get(&log).map_or(0, Vec::len) <= from {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    inner = self.changed.wait_timeout(inner, left).unwrap().0;
                }
                let records = inner.logs.get(&log).map_or(&[][..], |r| &r[..]);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                drop(inner);
                http::answer(stream, 200, &[], &body)
            }
            "/-/log-newest" => {
                let inner = self.inner.lock().unwrap();
                let records = inner.logs.get(&log).map_or(&[][..], |r| &r[..]);
                let mut newest: Vec<(&[u8], &[u8], usize)> = Vec::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = record[1..].split_at(record[0] as usize);
                    newest.retain(|(k, ..)| *k != key);
                    if !value.is_empty() {
                        newest.push((key, value, offset));
                    }
                }
                let items: Vec<String> = newest
                    .iter()
                    .map(|(key, value, offset)| {
                        let key = String::from_utf8_lossy(key);
                        let value = http::base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"morePages\":false,\"end\":{}}}",
                    items.join(","),
                    records.len()
                );
                drop(inner);
                http::json(stream, 200, &body)
            }
            "/-/log-join" => {
                let body = self.join(&m.text());
                http::json(stream, 200, &body)
            }
            "/-/log-leave" => {
                let text = m.text();
                let (group, member) = names(&text);
                let mut inner = self.inner.lock().unwrap();
                let group = inner.groups.entry(group).or_default();
                group.members.retain(|m| m.name != member);
                group.deal();
                drop(inner);
                http::json(stream, 200, "{}")
            }
            "/-/log-owners" => {
                let name = m.query("group").unwrap_or("").to_owned();
                let inner = self.inner.lock().unwrap();
                let rows =
                    inner.groups.get(&name).map_or(vec![], |g| g.rows(self.partitions, None));
                drop(inner);
                http::json(stream, 200, &format!("{{\"parts\":[{}]}}", rows.join(",")))
            }
            "/-/log-commit" => http::json(stream, 200, "{}"),
            _ => {
                http::answer(stream, 404, &[], b"")?;
                stream.flush()
            }
        }
    }

    fn join(&self, text: &str) -> String {
        let (group, member) = names(text);
        let ttl = Duration::from_millis(http::number_field(text, "ttlMs").unwrap_or(2000));
        let known = http::number_field(text, "generation").unwrap_or(0);
        let mut inner = self.inner.lock().unwrap();
        let group = inner.groups.entry(group).or_default();
        let now = Instant::now();
        if group.topics.is_empty() {
            let from = text.find("\"topics\"").unwrap_or(0);
            let list = &text[from..];
            let list = &list[list.find('[').unwrap_or(0) + 1..list.find(']').unwrap_or(0)];
            group.topics = list.split(',').map(|t| t.trim().trim_matches('"').to_owned()).collect();
            group.held = vec![None; group.topics.len() * self.partitions];
        }
        let before = group.members.len();
        group.members.retain(|m| m.until > now || m.name == member);
        let gone = group.members.len() != before;
        match group.members.iter_mut().find(|m| m.name == member) {
            Some(found) => {
                found.until = now + ttl;
                if gone {
                    group.deal();
                }
            }
            None => {
                group.members.push(Member { name: member.clone(), until: now + ttl });
                group.deal();
            }
        }
        // A partition that moves is free once its holder has joined with the new generation.
        let current = known >= group.generation;
        for (held, due) in group.held.iter_mut().zip(&group.due) {
            match held {
                Some(holder) if *holder == member && *due != member && current => *held = None,
                None if *due == member => *held = Some(member.clone()),
                _ => {}
            }
        }
        let rows = group.rows(self.partitions, Some(&member));
        format!(
            "{{\"generation\":{},\"ttlMs\":{},\"parts\":[{}]}}",
            group.generation,
            ttl.as_millis(),
            rows.join(",")
        )
    }
}

fn names(text: &str) -> (String, String) {
    let field = |name| http::text_field(text, name).unwrap_or_default();
    (field("group"), field("member"))
}

impl Group {
    fn deal(&mut self) {
        self.generation += 1;
        let members = &self.members;
        for held in &mut self.held {
            if held.as_ref().is_some_and(|h| !members.iter().any(|m| m.name == *h)) {
                *held = None;
            }
        }
        let name = |i: usize| members.get(i % members.len().max(1)).map(|m| m.name.clone());
        self.due = (0..self.held.len()).map(|i| name(i).unwrap_or_default()).collect();
    }

    /// Rows of topic, partition, offset for the partitions that a member holds, or of topic, partition, member, offset.
    fn rows(&self, partitions: usize, member: Option<&str>) -> Vec<String> {
        let mut rows = Vec::new();
        for (at, (held, due)) in self.held.iter().zip(&self.due).enumerate() {
            let (topic, part) = (&self.topics[at / partitions], at % partitions);
            match (held, member) {
                (_, None) => rows.push(format!("[\"{topic}\",{part},\"{due}\",0]")),
                (Some(h), Some(m)) if h == m && due == m => {
                    rows.push(format!("[\"{topic}\",{part},0]"));
                }
                _ => {}
            }
        }
        rows
    }
}
