//! Derives limits on callers from the machine's memory and descriptors.

use std::fs;

use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::Settings;

/// Memory that is assumed if none is set and none can be read.
const ASSUMED_MEMORY_BYTES: u64 = 1 << 30;
/// Descriptors that are assumed if there is no limit.
const ASSUMED_DESCRIPTORS: u64 = 1 << 20;
/// Share of the memory for callers' requests, as a divisor.
const REQUEST_DIVISOR: u64 = 4;
/// Share of the memory for answers that callers have yet to read, as a divisor.
const ANSWER_DIVISOR: u64 = 8;
/// Share of the memory for unfinished heads, as a divisor.
const HEAD_DIVISOR: u64 = 16;
/// Share of the memory for connections, as a divisor.
const CONNECTION_DIVISOR: u64 = 8;
/// Least part of the memory that stays free for everything else, as a divisor.
const FREE_DIVISOR: u64 = 4;
/// Part of the bytes for requests that is reserved for small ones, as a divisor.
pub const SMALL_DIVISOR: u64 = 4;
/// Memory of a connection over HTTP/1.1: its task and read buffer.
const HTTP1_CONNECTION_BYTES: u64 = 10 << 10;
/// Memory of a connection that may use HTTP/2, with its flow-control window.
const HTTP2_CONNECTION_BYTES: u64 = HTTP1_CONNECTION_BYTES + HTTP2_WINDOW_BYTES as u64;
/// Flow-control window of an HTTP/2 connection.
pub const HTTP2_WINDOW_BYTES: u32 = 128 << 10;
/// Shares of the descriptors for each port, as divisors. The rest is for the entry's own connections and files.
const CALLER_DIVISOR: u64 = 2;
const PEER_DIVISOR: u64 = 3;
const DIRECTORY_DIVISOR: u64 = 16;
const PROBE_DIVISOR: u64 = 64;
/// Least connections of a port.
const MIN_CONNECTIONS: u64 = 4;

/// Limits on callers and other entries, for a whole process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory of the process, bytes.
    pub memory_bytes: u64,
    /// Descriptors of the process.
    pub descriptors: u64,
    /// Most bytes of requests that are held at once.
    pub request_bytes: u64,
    /// Most bytes of answers that are held at once.
    pub answer_bytes: u64,
    /// Most bytes of unfinished heads.
    pub head_bytes: u64,
    /// Most connections of callers.
    pub connections: u64,
    /// Most connections to the port for address queries.
    pub directory_connections: u64,
    /// Most connections to a port for health checks or metrics.
    pub probe_connections: u64,
    /// Most connections of other entries.
    pub peer_connections: u64,
}

impl Capacity {
    /// Derives the limits of a process from its settings, and from its machine where they leave it open.
    pub fn derive(settings: &Settings) -> Capacity {
        let memory_mb = settings.machine.memory_mb;
        let memory_bytes = memory_mb.map_or_else(machine_memory, |megabytes| megabytes << 20);
        let descriptors = settings.machine.descriptors;
        let descriptors = descriptors.unwrap_or_else(process_descriptors);
        let connection_bytes = match settings.gateway.enabled {
            true => HTTP1_CONNECTION_BYTES,
            false => HTTP2_CONNECTION_BYTES,
        };
        let callers = &settings.callers;
        let share = |divisor: u64| (descriptors / divisor).max(MIN_CONNECTIONS);
        let connections = share(CALLER_DIVISOR)
            .min(memory_bytes / CONNECTION_DIVISOR / connection_bytes)
            .min(u64::from(callers.max_connections));
        Capacity {
            memory_bytes,
            descriptors,
            request_bytes: callers
                .max_held_request_bytes
                .unwrap_or(memory_bytes / REQUEST_DIVISOR),
            answer_bytes: callers
                .max_held_answer_bytes
                .unwrap_or(memory_bytes / ANSWER_DIVISOR),
            head_bytes: memory_bytes / HEAD_DIVISOR,
            connections: connections.max(MIN_CONNECTIONS),
            directory_connections: share(DIRECTORY_DIVISOR),
            probe_connections: share(PROBE_DIVISOR),
            peer_connections: share(PEER_DIVISOR),
        }
    }

    /// Returns the most bytes that one request may take; the rest is reserved for small ones.
    pub fn largest_request(&self) -> u64 {
        self.request_bytes - self.request_bytes / SMALL_DIVISOR
    }

    /// Returns the most bytes that requests, answers, heads and connections may take together.
    pub fn limit(&self) -> u64 {
        self.memory_bytes - self.memory_bytes / FREE_DIVISOR
    }

    /// Returns the bytes that they take if all limits are reached.
    pub fn total(&self) -> u64 {
        let connections = self.memory_bytes / CONNECTION_DIVISOR;
        self.request_bytes
            .saturating_add(self.answer_bytes)
            .saturating_add(self.head_bytes)
            .saturating_add(connections)
    }
}

/// Returns the memory of the machine or of this process's control group, whichever is less.
fn machine_memory() -> u64 {
    let machine = fs::read_to_string("/proc/meminfo").ok();
    let machine = machine.and_then(|text| {
        let total = text
            .lines()
            .find_map(|line| line.strip_prefix("MemTotal:"))?;
        let kilobytes: u64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kilobytes << 10)
    });
    let group = fs::read_to_string("/sys/fs/cgroup/memory.max").ok();
    let group = group.and_then(|text| text.trim().parse::<u64>().ok());
    let least = machine.into_iter().chain(group).min();
    least.unwrap_or(ASSUMED_MEMORY_BYTES)
}

/// Returns the limit of descriptors of this process.
fn process_descriptors() -> u64 {
    let limit = getrlimit(Resource::Nofile).current;
    limit
        .unwrap_or(ASSUMED_DESCRIPTORS)
        .min(ASSUMED_DESCRIPTORS)
}
