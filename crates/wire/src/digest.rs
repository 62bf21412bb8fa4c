//! Digests of members.

use lease::holder;
use member::digest::Beat;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Record;
use member::digest::Topic;
use member::row::Row;
use member::row::State;
use smol_str::SmolStr;

use crate::peer_capnp::State as WireState;
use crate::peer_capnp::Topic as WireTopic;
use crate::peer_capnp::beat;
use crate::peer_capnp::digest;
use crate::peer_capnp::item;
use crate::peer_capnp::record;

/// Writes a digest.
pub fn write(digest: &Digest, mut to: digest::Builder<'_>) {
    write_beat(&digest.own, to.reborrow().init_own());
    let mut beats = to.reborrow().init_beats(count(digest.beats.len()));
    for (at, beat) in digest.beats.iter().enumerate() {
        write_beat(beat, beats.reborrow().get(count(at)));
    }
    let mut records = to.reborrow().init_records(count(digest.records.len()));
    for (at, record) in digest.records.iter().enumerate() {
        write_record(record, records.reborrow().get(count(at)));
    }
    let mut items = to.reborrow().init_items(count(digest.items.len()));
    for (at, item) in digest.items.iter().enumerate() {
        write_item(item, items.reborrow().get(count(at)));
    }
    to.set_greeting(digest.greeting);
}

/// Reads a digest; pieces on topics that a newer release brought are passed over.
pub fn read(from: digest::Reader<'_>) -> capnp::Result<Digest> {
    let mut digest = Digest {
        own: read_beat(from.get_own()?),
        greeting: from.get_greeting(),
        ..Digest::default()
    };
    digest.beats = from.get_beats()?.iter().map(read_beat).collect();
    for record in from.get_records()? {
        digest.records.extend(read_record(record)?);
    }
    for item in from.get_items()? {
        digest.items.extend(read_item(item)?);
    }
    Ok(digest)
}

/// A length as the encoding counts it.
fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn write_beat(beat: &Beat, mut to: beat::Builder<'_>) {
    to.set_id(beat.id.0);
    to.set_count(beat.count);
    to.set_applied(beat.applied);
    to.set_load(beat.load);
    to.set_store_lost(beat.store_lost);
}

fn read_beat(from: beat::Reader<'_>) -> Beat {
    Beat {
        id: holder::Id(from.get_id()),
        count: from.get_count(),
        applied: from.get_applied(),
        load: from.get_load(),
        store_lost: from.get_store_lost(),
    }
}

fn write_record(record: &Record, mut to: record::Builder<'_>) {
    let row = &record.row;
    to.set_id(row.id.0);
    to.set_zone(row.zone.as_str());
    to.set_address(row.address.as_str());
    to.set_peer_address(row.peer_address.as_str());
    to.set_state(match row.state {
        State::Live => WireState::Live,
        State::Draining => WireState::Draining,
        State::Left => WireState::Left,
    });
    to.set_applied(row.applied);
    to.set_term_ms(row.term_ms);
    to.set_renewals(row.renewals);
    to.set_heir(row.heir.map_or(0, |heir| heir.0));
    to.set_has_heir(row.heir.is_some());
    to.set_gone(record.gone);
}

fn read_record(from: record::Reader<'_>) -> capnp::Result<Option<Record>> {
    let state = match from.get_state() {
        Ok(WireState::Live) => State::Live,
        Ok(WireState::Draining) => State::Draining,
        Ok(WireState::Left) => State::Left,
        Err(_) => return Ok(None),
    };
    let row = Row {
        id: holder::Id(from.get_id()),
        zone: text(from.get_zone()?)?,
        address: text(from.get_address()?)?,
        peer_address: text(from.get_peer_address()?)?,
        state,
        applied: from.get_applied(),
        term_ms: from.get_term_ms(),
        renewals: from.get_renewals(),
        heir: from.get_has_heir().then(|| holder::Id(from.get_heir())),
    };
    Ok(Some(Record {
        row,
        gone: from.get_gone(),
    }))
}

fn write_item(item: &Item, mut to: item::Builder<'_>) {
    to.set_topic(match item.topic {
        Topic::Leaving => WireTopic::Leaving,
        Topic::Quarantine => WireTopic::Quarantine,
        Topic::Heir => WireTopic::Heir,
        Topic::Demand => WireTopic::Demand,
        Topic::Count => WireTopic::Count,
        Topic::Ended => WireTopic::Ended,
        Topic::List => WireTopic::List,
        Topic::Resigned => WireTopic::Resigned,
        Topic::Renewed => WireTopic::Renewed,
        Topic::Rollout => WireTopic::Rollout,
        Topic::Silent => WireTopic::Silent,
    });
    to.set_key(item.key.as_str());
    to.set_version(item.version);
    to.set_age_ms(item.age_ms);
    to.set_payload(&item.payload);
}

fn read_item(from: item::Reader<'_>) -> capnp::Result<Option<Item>> {
    let topic = match from.get_topic() {
        Ok(WireTopic::Leaving) => Topic::Leaving,
        Ok(WireTopic::Quarantine) => Topic::Quarantine,
        Ok(WireTopic::Heir) => Topic::Heir,
        Ok(WireTopic::Demand) => Topic::Demand,
        Ok(WireTopic::Count) => Topic::Count,
        Ok(WireTopic::Ended) => Topic::Ended,
        Ok(WireTopic::List) => Topic::List,
        Ok(WireTopic::Resigned) => Topic::Resigned,
        Ok(WireTopic::Renewed) => Topic::Renewed,
        Ok(WireTopic::Rollout) => Topic::Rollout,
        Ok(WireTopic::Silent) => Topic::Silent,
        Err(_) => return Ok(None),
    };
    Ok(Some(Item {
        topic,
        key: text(from.get_key()?)?,
        version: from.get_version(),
        age_ms: from.get_age_ms(),
        payload: from.get_payload()?.to_vec(),
    }))
}

fn text(from: capnp::text::Reader<'_>) -> capnp::Result<SmolStr> {
    Ok(SmolStr::from(from.to_str()?))
}
