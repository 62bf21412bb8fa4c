//! Decides whether this entry reads the list of servers, and exchanges reports on it with other entries.

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Topic;
use smol_str::format_smolstr;
use store::revision::Revision;
use watch::report::Report;
use watch::server::Reading;
use watch::server::Update;
use watch::watch::Extent;
use watch::watch::Learned;
use watch::watch::Role;

use crate::effect::Effect;
use crate::effect::Lane;
use crate::gateway::Gateway;
use crate::presence::Source;

/// Time before a new reader reads again: while entries start, most of them briefly take the reader's role.
const ROLE_SETTLING: Span = Span::from_millis(1_500);

/// State of following the list of servers.
#[derive(Debug)]
pub(crate) struct Following {
    /// Pause between two reads as last passed to the shell; `None` while it needn't read.
    pause: Option<Span>,
    /// When an entry that became a reader for others reads again. Its pending long poll was started while
    /// it read for itself, and waits longer than the others can do without a report.
    reread_as_reader: Option<Time>,
    /// When the whole list is read again after the table service was restored from a copy. Live servers have
    /// rewritten their rows by then; those still missing are gone.
    reread_after_restore: Option<Time>,
}

impl Following {
    /// Creates the state of an entry that reads for itself, as all do at start.
    pub fn new() -> Following {
        Following {
            pause: Some(Span::ZERO),
            reread_as_reader: None,
            reread_after_restore: None,
        }
    }
}

impl Gateway {
    /// Handles a read of the list by this entry.
    pub(crate) fn handle_list_read(
        &mut self,
        now: Time,
        reading: Reading,
        requested_at: Time,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.servers.position().revision;
        if known > 0 && Revision::is_of_older_era(known, reading.revision) {
            self.following.reread_after_restore = Some(now + self.settings.missing_row_grace);
        }
        let reading = self.watch.apply_reading(now, requested_at, &reading);

        // From here on only this entry's own gaps matter.
        self.servers.set_peer_distrust(Time::ZERO);
        self.apply_reading(now, reading, requested_at, effects);
    }

    /// Handles another entry's report on the list.
    pub(crate) fn handle_list_report(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        let Some(from) = holder::Id::parse(&item.key) else {
            return;
        };
        let report: Report = match serde_json::from_slice(&item.payload) {
            Ok(report) => report,
            Err(error) => {
                let line = Line::warn("report_unreadable")
                    .with("peer", &item.key)
                    .with("error", error);
                return effects.push(Effect::Log(line));
            }
        };
        let me = self.identity.incarnation;
        let relays = self.hub.is_hub(me) && !self.hub.is_hub(from);
        let echo = report.echo.filter(|echo| echo.to == me.0);
        let written_after = echo.map(|echo| echo.written_after());
        let learned = self.watch.receive(now, &report, written_after, relays);
        self.apply_report(now, learned, &report, from, effects);
    }

    fn apply_report(
        &mut self,
        now: Time,
        learned: Learned,
        report: &Report,
        from: holder::Id,
        effects: &mut Vec<Effect>,
    ) {
        if !self.watch.is_reading(now) {
            let lapsed = Span::from_millis(report.lapsed_ms);
            self.servers.set_peer_distrust(now + lapsed);
        }
        if !learned.written.is_empty() || !learned.removed.is_empty() {
            let line = Line::info("list_changed")
                .with("from", from)
                .with("list", report.revision)
                .with("age_ms", report.age_ms)
                .with("written", learned.written.len())
                .with("removed", learned.removed.len());
            effects.push(Effect::Log(line));
            let (written, removed) = (learned.written, learned.removed);
            let update = Update::Changes { written, removed };
            self.apply_reported_changes(now, update, effects);
        }
        if let Some(position) = learned.position {
            self.observe_era(now, position.revision, effects);
            self.advance_position(position.as_of, position.certain_as_of, position.revision);

            // An entry without a gap misses the same rows: their servers are gone.
            if report.lapsed_ms == 0 {
                self.remove_missing(now, Source::Peer, effects);
            }
        }
        self.remove_missing_if_trusted(now, effects);
    }

    /// Starts or stops reading, and publishes changes.
    pub(crate) fn following_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let role = self.role();
        let pause = self.watch.read_interval(now, role);
        if pause != self.following.pause {
            if pause.is_some() || self.following.pause == Some(Span::ZERO) {
                let line = Line::info("list_followed")
                    .with("role", format!("{role:?}"))
                    .with(
                        "age_ms",
                        now.since(self.servers.position().confirmed_at).as_millis(),
                    );
                effects.push(Effect::Log(line));
            }
            let was_alone = self.following.pause == Some(Span::ZERO);
            let reads_for_all = pause.is_some_and(|pause| pause > Span::ZERO);
            self.following.reread_as_reader =
                (was_alone && reads_for_all).then_some(now + ROLE_SETTLING);
            self.following.pause = pause;
            effects.push(Effect::FollowServers { pause });
        }
        let due = |at: &mut Time| *at <= now;
        let became_reader = self.following.reread_as_reader.take_if(due).is_some();
        if self.following.reread_after_restore.take_if(due).is_some() || became_reader {
            effects.push(Effect::ReadServers);
        }
        if self.uses_hubs() && self.watch.is_report_due(now) {
            self.send_list_report(now, effects);
        }
    }

    /// Returns when [`Gateway::following_tick`] is due next.
    pub(crate) fn next_following_tick(&self) -> Option<Time> {
        let reads = self.following.pause.is_none();
        let reads = reads.then(|| self.watch.next_read(self.role()));
        let due = self.watch.next_report_due().filter(|_| self.uses_hubs());
        let Following {
            reread_as_reader,
            reread_after_restore,
            ..
        } = self.following;
        let due_times = reads.into_iter().chain(due).chain(reread_as_reader);
        due_times.chain(reread_after_restore).min()
    }

    fn role(&self) -> Role {
        if !self.uses_hubs() || self.roster.readers().is_empty() {
            return Role::Alone;
        }
        let mut readers = self.roster.readers().iter();
        let rank = readers.position(|reader| *reader == self.identity.incarnation);
        rank.map_or(Role::Follower, |rank| Role::Reader { rank })
    }

    /// Returns the report that accompanies the periodic counts: a hub always sends it, others if they have
    /// read the list since.
    pub(crate) fn periodic_list_report(&mut self, now: Time, is_hub: bool) -> Option<Report> {
        match is_hub || self.watch.has_read() {
            true => self.list_report(now, Extent::Recent),
            false => None,
        }
    }

    fn list_report(&mut self, now: Time, extent: Extent) -> Option<Report> {
        let lapsed = match self.list_unavailable {
            true => self.settings.missing_row_grace,
            false => self.servers.trusted_in(now),
        };
        self.watch.report(now, lapsed, extent)
    }

    /// Returns the item that carries a report to one entry.
    pub(crate) fn list_item(&mut self, now: Time, to: holder::Id, report: &Report) -> Option<Item> {
        let report = Report {
            echo: self.hub.echo(now, to),
            ..report.clone()
        };
        let payload = serde_json::to_vec(&report).ok()?;
        self.item_version += 1;
        Some(Item {
            topic: Topic::List,
            key: format_smolstr!("{}", self.identity.incarnation),
            version: self.item_version,
            age_ms: 0,
            payload,
        })
    }

    /// Sends changes to the hubs, or from a hub to all peers.
    fn send_list_report(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let me = self.identity.incarnation;
        let hubs = self.roster.hubs().to_vec();
        let is_hub = hubs.contains(&me);
        let Some(report) = self.list_report(now, Extent::New) else {
            return;
        };
        let to: Vec<holder::Id> = match is_hub {
            true => self.membership.peers().map(|(id, _)| id).collect(),
            false => hubs,
        };
        let mut bytes = 0;
        for peer in &to {
            let Some(address) = self.membership.peer_address(*peer).cloned() else {
                continue;
            };
            let digest = Digest {
                own: self.membership.beat(),
                items: self.list_item(now, *peer, &report).into_iter().collect(),
                ..Digest::default()
            };
            bytes += digest.size();
            effects.push(Effect::SendDigest {
                address,
                digest,
                lane: Lane::Immediate,
            });
        }
        let line = Line::info("report_sent")
            .with("to", to.len())
            .with("bytes", bytes);
        effects.push(Effect::Log(line));
    }
}
