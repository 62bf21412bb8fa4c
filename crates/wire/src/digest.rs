//! Encodes and decodes the digests that members exchange.

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

/// Writes a digest to a message.
pub fn write(digest: &Digest, mut builder: digest::Builder<'_>) {
    write_beat(&digest.own, builder.reborrow().init_own());
    let mut beats = builder.reborrow().init_beats(to_u32(digest.beats.len()));
    for (index, beat) in digest.beats.iter().enumerate() {
        write_beat(beat, beats.reborrow().get(to_u32(index)));
    }
    let mut records = builder
        .reborrow()
        .init_records(to_u32(digest.records.len()));
    for (index, record) in digest.records.iter().enumerate() {
        write_record(record, records.reborrow().get(to_u32(index)));
    }
    let mut items = builder.reborrow().init_items(to_u32(digest.items.len()));
    for (index, item) in digest.items.iter().enumerate() {
        write_item(item, items.reborrow().get(to_u32(index)));
    }
    builder.set_greeting(digest.greeting);
}

/// Reads a digest from a message. Records and items of kinds that only a newer release knows are skipped.
pub fn read(reader: digest::Reader<'_>) -> capnp::Result<Digest> {
    let mut digest = Digest {
        own: read_beat(reader.get_own()?),
        greeting: reader.get_greeting(),
        ..Digest::default()
    };
    digest.beats = reader.get_beats()?.iter().map(read_beat).collect();
    for record in reader.get_records()? {
        digest.records.extend(read_record(record)?);
    }
    for item in reader.get_items()? {
        digest.items.extend(read_item(item)?);
    }
    Ok(digest)
}

/// Converts a length or an index to the type that capnp uses.
fn to_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn write_beat(beat: &Beat, mut builder: beat::Builder<'_>) {
    builder.set_id(beat.id.0);
    builder.set_count(beat.count);
    builder.set_applied(beat.applied);
    builder.set_load(beat.load);
    builder.set_store_lost(beat.store_lost);
    builder.set_servers_lost(beat.servers_lost);
}

fn read_beat(reader: beat::Reader<'_>) -> Beat {
    Beat {
        id: holder::Id(reader.get_id()),
        count: reader.get_count(),
        applied: reader.get_applied(),
        load: reader.get_load(),
        store_lost: reader.get_store_lost(),
        servers_lost: reader.get_servers_lost(),
    }
}

fn write_record(record: &Record, mut builder: record::Builder<'_>) {
    let row = &record.row;
    builder.set_id(row.id.0);
    builder.set_zone(row.zone.as_str());
    builder.set_address(row.address.as_str());
    builder.set_peer_address(row.peer_address.as_str());
    builder.set_state(match row.state {
        State::Live => WireState::Live,
        State::Draining => WireState::Draining,
        State::Left => WireState::Left,
    });
    builder.set_applied(row.applied);
    builder.set_term_ms(row.term_ms);
    builder.set_renewals(row.renewals);
    builder.set_heir(row.heir.map_or(0, |heir| heir.0));
    builder.set_has_heir(row.heir.is_some());
    builder.set_gone(record.gone);
}

fn read_record(reader: record::Reader<'_>) -> capnp::Result<Option<Record>> {
    let state = match reader.get_state() {
        Ok(WireState::Live) => State::Live,
        Ok(WireState::Draining) => State::Draining,
        Ok(WireState::Left) => State::Left,
        Err(_) => return Ok(None),
    };
    let row = Row {
        id: holder::Id(reader.get_id()),
        zone: text(reader.get_zone()?)?,
        address: text(reader.get_address()?)?,
        peer_address: text(reader.get_peer_address()?)?,
        state,
        applied: reader.get_applied(),
        term_ms: reader.get_term_ms(),
        renewals: reader.get_renewals(),
        heir: reader.get_has_heir().then(|| holder::Id(reader.get_heir())),
    };
    Ok(Some(Record {
        row,
        gone: reader.get_gone(),
    }))
}

fn write_item(item: &Item, mut builder: item::Builder<'_>) {
    builder.set_topic(match item.topic {
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
    builder.set_key(item.key.as_str());
    builder.set_version(item.version);
    builder.set_age_ms(item.age_ms);
    builder.set_payload(&item.payload);
}

fn read_item(reader: item::Reader<'_>) -> capnp::Result<Option<Item>> {
    let topic = match reader.get_topic() {
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
        key: text(reader.get_key()?)?,
        version: reader.get_version(),
        age_ms: reader.get_age_ms(),
        payload: reader.get_payload()?.to_vec(),
    }))
}

fn text(reader: capnp::text::Reader<'_>) -> capnp::Result<SmolStr> {
    Ok(SmolStr::from(reader.to_str()?))
}
