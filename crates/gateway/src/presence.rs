//! Membership of backend servers, by the list of servers and reports of peers.

use clock::Span;
use clock::Time;
use line::Line;
use policy::replica;
use smol_str::SmolStr;

use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::servers;
use crate::servers::DEFAULT_NOTICE;
use crate::servers::endpoint_of;
use watch::server::Reading;
use watch::server::Removal;
use watch::server::Server;
use watch::server::Update;

/// Where it was learned that a server is leaving or gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// Its row, read here or by a reader of the list.
    Row,
    /// Another entry that followed the list without a gap.
    Peer,
    /// An answer of the server itself.
    Answer,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Source::Row => "row",
            Source::Peer => "peer",
            Source::Answer => "answer",
        }
    }
}

impl Gateway {
    /// Applies a read of the list: all rows, or changes.
    pub(crate) fn apply_reading(
        &mut self,
        now: Time,
        reading: Reading,
        requested_at: Time,
        effects: &mut Vec<Effect>,
    ) {
        self.distrust_after_store_failure();
        // Lapsed leases are renewed within two seconds of the table service's return, not of our last failed
        // call.
        if std::mem::take(&mut self.list_unavailable) {
            self.servers
                .distrust_until(now + self.settings.missing_row_grace);
        }
        if self.servers_known_since == Time::ZERO {
            self.servers_known_since = now;
        }
        self.observe_era(now, reading.revision, effects);
        self.advance_position(now, requested_at, reading.revision);
        match reading.update {
            Update::All(servers) => self.apply_snapshot(now, servers, effects),
            Update::Changes { written, removed } => {
                for server in written {
                    self.row_read(now, server, effects);
                }
                self.apply_removals(now, &removed, effects);
            }
        }
    }

    /// Advances the known position in the list. After a restore of the table service missing rows are
    /// distrusted, since live servers may lack theirs.
    pub(crate) fn advance_position(&mut self, at: Time, as_of: Time, revision: u64) {
        let restored = self.servers.restored();
        self.servers.advance_position(at, as_of, revision);
        if self.servers.restored() != restored {
            self.servers
                .distrust_until(at + self.settings.missing_row_grace);
        }
    }

    /// Applies changes that another entry read and reported to everyone.
    pub(crate) fn apply_reported_changes(
        &mut self,
        now: Time,
        update: Update,
        effects: &mut Vec<Effect>,
    ) {
        self.distrust_after_store_failure();
        let Update::Changes { written, removed } = update else {
            return;
        };
        for server in written {
            self.apply_row(now, server, effects);
        }
        let ids: Vec<SmolStr> = removed.into_iter().map(|row| row.id).collect();
        let absent = self.servers.incarnations_of(&ids);
        self.mark_missing(now, absent, effects);
    }

    /// Distrusts missing rows for a time after the table service failed, since leases of live servers lapse
    /// then.
    fn distrust_after_store_failure(&mut self) {
        if let Some(failed) = self.store_failed_at {
            self.servers
                .distrust_until(failed + self.settings.missing_row_grace);
        }
    }

    /// Applies a complete read of the list: after the start, and after each gap.
    fn apply_snapshot(&mut self, now: Time, servers: Vec<Server>, effects: &mut Vec<Effect>) {
        let mut absent = self.servers.incarnations();
        absent.retain(|known| servers.iter().all(|server| server.incarnation != *known));
        let line = Line::info("servers_read")
            .with("list", self.servers.position().revision)
            .with("rows", servers.len())
            .with("absent", absent.len())
            .with("trusted_in_ms", self.servers.trusted_in(now).as_millis());
        effects.push(Effect::Log(line));
        for server in servers {
            self.row_read(now, server, effects);
        }
        self.mark_missing(now, absent, effects);
    }

    /// Applies removals of rows.
    ///
    /// They are published unless leases may have lapsed: an entry that can't follow the list would otherwise
    /// send requests to servers that vanished without notice, while others see the removal within
    /// milliseconds.
    fn apply_removals(&mut self, now: Time, removed: &[Removal], effects: &mut Vec<Effect>) {
        let mut absent = Vec::new();
        for row in removed {
            for incarnation in self.servers.incarnations_of(std::slice::from_ref(&row.id)) {
                if self.servers.is_trusted(now) && !self.servers.is_leaving(&incarnation) {
                    self.publish_ended(now, &incarnation, row.revision, effects);
                }
                absent.push(incarnation);
            }
        }
        self.mark_missing(now, absent, effects);
    }

    /// Handles a peer's report that a server's row was removed at `revision`, from a list without a gap.
    ///
    /// A report only ever removes a server; one whose row is back joins by our own read.
    pub(crate) fn handle_removal_report(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        revision: u64,
        effects: &mut Vec<Effect>,
    ) {
        let behind = self.servers.position().revision < revision;
        if behind {
            self.servers.record_ended(incarnation, revision);
        }
        if behind || self.servers.missing_since(incarnation).is_some() {
            self.remove_server(now, incarnation, Source::Peer, effects);
        }
    }

    /// Handles a failure to follow the list.
    pub(crate) fn handle_list_failure(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.store_failed_at = Some(now);
        self.list_unavailable = true;
        let line = Line::warn("servers_lost").with("known", self.servers.count());
        effects.push(Effect::Log(line));
    }

    /// Removes servers whose rows are missing once missing rows are trusted.
    pub(crate) fn remove_missing_if_trusted(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.servers.is_trusted(now) {
            return;
        }
        self.remove_missing(now, Source::Row, effects);
    }

    /// Removes all servers whose rows are missing.
    pub(crate) fn remove_missing(&mut self, now: Time, source: Source, effects: &mut Vec<Effect>) {
        for incarnation in self.servers.missing() {
            self.remove_server(now, &incarnation, source, effects);
        }
    }

    /// Handles a peer's report that a server is leaving.
    pub(crate) fn handle_leaving(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        effects: &mut Vec<Effect>,
    ) {
        self.start_leaving(
            now,
            incarnation,
            now + DEFAULT_NOTICE,
            Source::Peer,
            effects,
        );
    }

    /// Handles a server's own announcement that it is leaving, and publishes it, since its row can't be written
    /// while the table service is away.
    pub(crate) fn handle_announced_leave(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        effects: &mut Vec<Effect>,
    ) {
        let until = now + DEFAULT_NOTICE;
        if self.start_leaving(now, incarnation, until, Source::Answer, effects) {
            self.publish_leaving(now, incarnation, effects);
        }
    }

    /// Applies a row read by this entry, and publishes if its server is leaving.
    fn row_read(&mut self, now: Time, server: Server, effects: &mut Vec<Effect>) {
        let incarnation = server.incarnation.clone();
        if self.apply_row(now, server, effects) {
            self.publish_leaving(now, &incarnation, effects);
        }
    }

    /// Applies a row; returns whether it was the first to say that its server is leaving.
    fn apply_row(&mut self, now: Time, server: Server, effects: &mut Vec<Effect>) -> bool {
        let incarnation = server.incarnation.clone();
        let notice = server.leaves_in.unwrap_or(DEFAULT_NOTICE);
        let is_new = server.leaving
            && self.start_leaving(now, &incarnation, now + notice, Source::Row, effects);
        if let Some(known) = self.servers.get_mut(&incarnation) {
            let (key, missing) = (known.key, known.missing_since.take());
            if known.server.version != server.version && !server.leaving {
                let pool = self.replica_pool(&server);
                self.replace_replica(now, server, pool, effects);
                return is_new;
            }
            known.server = server;
            if missing.is_some() && !self.may_have_restarted(key) {
                self.set_doubted(now, key, false, effects);
            }
            return is_new;
        }
        // A row of an earlier process may be written late.
        let is_latest = !self.has_later_process(&server);
        self.remove_previous_incarnations(now, &server, effects);
        let is_past = self.servers.is_leaving(&incarnation) || self.servers.has_ended(&incarnation);
        if !server.leaving && !is_past {
            if is_latest {
                self.correct_origins(now, &server, effects);
            }
            self.server_joined(now, server, effects);
        }
        is_new
    }

    /// Returns whether a process of a server is known that started after the one of a row.
    fn has_later_process(&self, row: &Server) -> bool {
        let mut servers = self.servers.iter().map(|known| &known.server);
        servers.any(|known| known.id == row.id && known.started_unix_ms > row.started_unix_ms)
    }

    /// Removes earlier incarnations of a server.
    fn remove_previous_incarnations(
        &mut self,
        now: Time,
        server: &Server,
        effects: &mut Vec<Effect>,
    ) {
        for before in self
            .servers
            .incarnations_of(std::slice::from_ref(&server.id))
        {
            if before != server.incarnation {
                self.remove_server(now, &before, Source::Row, effects);
            }
        }
    }

    fn server_joined(&mut self, now: Time, server: Server, effects: &mut Vec<Effect>) {
        let line = Line::info("server_joined")
            .with("replica", &server.incarnation)
            .with("service", &server.service)
            .with("zone", &server.zone);
        effects.push(Effect::Log(line));
        effects.push(Effect::OpenServer {
            endpoint: endpoint_of(&server),
        });
        let pool = self.replica_pool(&server);
        self.add_replica(now, server, pool, effects);
    }

    /// Adds a replica to a scheduler pool.
    pub(crate) fn add_replica(
        &mut self,
        now: Time,
        server: Server,
        pool: SmolStr,
        effects: &mut Vec<Effect>,
    ) {
        let spec = replica::Spec {
            incarnation: server.incarnation.clone(),
            pool: self.pool_key(&pool),
            zone: server.zone.clone(),
            version: servers::version_key(&server.version),
            slots: server.slots.max(1),
        };
        self.replica_pools.insert(server.incarnation.clone(), pool);
        let incarnation = server.incarnation.clone();
        let mut decisions = Vec::new();
        let key = self.scheduler.replica_joined(now, spec, &mut decisions);
        // The scheduler may place waiting requests at once, for which the server must be known first.
        self.versions
            .record_seen(now, &server.service, &server.version);
        self.servers.add(key, server);
        self.apply_pause(now, &incarnation, effects);
        for decision in decisions {
            self.apply_decision(now, decision, effects);
        }
    }

    /// Adds a known server to the scheduler anew, with another pool or version. Running requests go on.
    pub(crate) fn replace_replica(
        &mut self,
        now: Time,
        server: Server,
        pool: SmolStr,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(known) = self.servers.remove(&server.incarnation) {
            self.scheduler.replica_lost(now, known.key);
            self.add_replica(now, server, pool, effects);
        }
    }

    /// Stops new work for a server that is leaving; returns whether that wasn't known.
    fn start_leaving(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        until: Time,
        source: Source,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !self.servers.mark_leaving(incarnation) {
            return false;
        }
        let line = Line::info("server_leaving")
            .with("replica", incarnation)
            .with("source", source.as_str())
            .with("list", self.servers.position().revision)
            .with("left_ms", until.since(now).as_millis());
        effects.push(Effect::Log(line));
        effects.push(Effect::CloseServer {
            incarnation: incarnation.clone(),
        });
        let Some(key) = self.servers.get_mut(incarnation).map(|known| known.key) else {
            return true;
        };
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.replica_leaving(now, key, until, out);
        });
        true
    }

    /// Marks servers as missing, and their replicas as doubted until missing rows are trusted.
    fn mark_missing(&mut self, now: Time, absent: Vec<SmolStr>, effects: &mut Vec<Effect>) {
        let mut doubted = Vec::new();
        for incarnation in absent {
            if let Some(known) = self.servers.get_mut(&incarnation)
                && known.missing_since.is_none()
            {
                known.missing_since = Some(now);
                doubted.push(known.key);
            }
        }
        // If missing rows are trusted, the servers are removed instead.
        if self.servers.is_trusted(now) {
            return self.remove_missing_if_trusted(now, effects);
        }
        for key in doubted {
            self.set_doubted(now, key, true, effects);
        }
    }

    /// Tells the scheduler that a server may be gone, or is back.
    ///
    /// A missing row isn't trusted for some time after a gap, since leases of live servers lapse while the
    /// table service is down. If only this entry lost its connection, the row of a server that left is
    /// missing just the same.
    pub(crate) fn set_doubted(
        &mut self,
        now: Time,
        key: replica::Key,
        doubted: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.replica_unconfirmed(now, key, doubted, out);
        });
    }

    /// Removes a server that is gone.
    fn remove_server(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        source: Source,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.servers.remove(incarnation) else {
            return;
        };
        self.replica_pools.remove(incarnation);
        let missing = known
            .missing_since
            .map_or(Span::ZERO, |since| now.since(since));
        let line = Line::info("server_gone")
            .with("replica", incarnation)
            .with("source", source.as_str())
            .with("list", self.servers.position().revision)
            .with("missing_ms", missing.as_millis());
        effects.push(Effect::Log(line));
        effects.push(Effect::CloseServer {
            incarnation: incarnation.clone(),
        });
        // Its attempts go on until their connections end: a row may be removed before its server ends.
        self.scheduler.replica_lost(now, known.key);
        let running = self
            .requests
            .values()
            .any(|request| request.replica == Some(known.key));
        if !running {
            self.servers.drop_key(known.key);
        }
        let requests = &self.requests;
        self.servers.prune_keys(|key| {
            requests
                .values()
                .any(|request| request.replica == Some(key))
        });
    }
}
