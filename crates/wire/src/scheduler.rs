//! Encodes and decodes the digests that schedulers exchange as the payload of an item.

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use clock::Span;
use policy::limit;
use policy::quarantine;
use policy::scheduler::Digest;

use crate::peer_capnp::alone;
use crate::peer_capnp::claim;
use crate::peer_capnp::crash;
use crate::peer_capnp::news;
use crate::peer_capnp::part;
use crate::peer_capnp::suspect;

/// Encodes a scheduler's digest in capnp's packed form.
pub fn encode(digest: &Digest) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<news::Builder<'_>>();
    let claims = &digest.limit.claims;
    let mut claim_list = root.reborrow().init_claims(to_u32(claims.len()));
    for (index, claim) in claims.iter().enumerate() {
        write_claim(claim, claim_list.reborrow().get(to_u32(index)));
    }
    write_quarantine(&digest.quarantine, root);
    let mut bytes = Vec::new();
    // Writing to memory can't fail; readers would ignore an empty payload.
    let _ = serialize_packed::write_message(&mut bytes, &message);
    bytes
}

/// Decodes a scheduler's digest from capnp's packed form.
pub fn decode(bytes: &[u8]) -> capnp::Result<Digest> {
    let message = serialize_packed::read_message(bytes, ReaderOptions::new())?;
    let root = message.get_root::<news::Reader<'_>>()?;
    let claims = root.get_claims()?.iter().map(read_claim).collect();
    Ok(Digest {
        limit: limit::Digest { claims },
        quarantine: read_quarantine(root)?,
    })
}

fn to_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn write_claim(claim: &limit::Claim, mut builder: claim::Builder<'_>) {
    builder.set_name(claim.name);
    builder.set_demand(claim.demand);
    builder.set_wanted(claim.wanted);
    builder.set_tokens(claim.tokens);
    builder.set_open(claim.open);
}

fn read_claim(reader: claim::Reader<'_>) -> limit::Claim {
    limit::Claim {
        name: reader.get_name(),
        demand: reader.get_demand(),
        wanted: reader.get_wanted(),
        tokens: reader.get_tokens(),
        open: reader.get_open(),
    }
}

fn write_quarantine(digest: &quarantine::Digest, mut root: news::Builder<'_>) {
    let mut suspects = root.reborrow().init_suspects(to_u32(digest.items.len()));
    for (index, item) in digest.items.iter().enumerate() {
        write_suspect(item, suspects.reborrow().get(to_u32(index)));
    }
    let mut crashes = root.reborrow().init_crashes(to_u32(digest.crashes.len()));
    for (index, crash) in digest.crashes.iter().enumerate() {
        let mut builder = crashes.reborrow().get(to_u32(index));
        builder.set_replica(crash.replica);
        builder.set_zone(crash.zone);
        builder.set_age_ms(crash.age.as_millis());
    }
    let mut parts = root.reborrow().init_parts(to_u32(digest.parts.len()));
    for (index, item) in digest.parts.iter().enumerate() {
        write_part(item, parts.reborrow().get(to_u32(index)));
    }
    let mut claims = root.init_alone(to_u32(digest.claims.len()));
    for (index, claim) in digest.claims.iter().enumerate() {
        let mut builder = claims.reborrow().get(to_u32(index));
        builder.set_fingerprint(claim.fingerprint);
        builder.set_replica(claim.replica);
    }
}

fn write_suspect(item: &quarantine::Item, mut builder: suspect::Builder<'_>) {
    builder.set_fingerprint(item.fingerprint);
    builder.set_judged(item.judged);
    builder.set_left_ms(item.remaining.as_millis());
    let mut crashes = builder.reborrow().init_crashes(to_u32(item.crashes.len()));
    for (index, replica) in item.crashes.iter().enumerate() {
        crashes.set(to_u32(index), *replica);
    }
    let mut acquitted = builder.init_acquitted(to_u32(item.acquitted.len()));
    for (index, replica) in item.acquitted.iter().enumerate() {
        acquitted.set(to_u32(index), *replica);
    }
}

fn write_part(item: &quarantine::PartItem, mut builder: part::Builder<'_>) {
    builder.set_hash(item.part);
    builder.set_is_answered(item.answered.is_some());
    builder.set_answered_ms(item.answered.map_or(0, Span::as_millis));
    let mut crashes = builder.init_crashes(to_u32(item.crashes.len()));
    for (index, (replica, age)) in item.crashes.iter().enumerate() {
        let mut builder = crashes.reborrow().get(to_u32(index));
        builder.set_replica(*replica);
        builder.set_age_ms(age.as_millis());
    }
}

fn read_quarantine(root: news::Reader<'_>) -> capnp::Result<quarantine::Digest> {
    let mut digest = quarantine::Digest::default();
    for reader in root.get_suspects()? {
        digest.items.push(read_suspect(reader)?);
    }
    for reader in root.get_parts()? {
        digest.parts.push(read_part(reader)?);
    }
    digest.crashes = root.get_crashes()?.iter().map(read_crash).collect();
    digest.claims = root
        .get_alone()?
        .iter()
        .map(read_quarantine_claim)
        .collect();
    Ok(digest)
}

fn read_suspect(reader: suspect::Reader<'_>) -> capnp::Result<quarantine::Item> {
    Ok(quarantine::Item {
        fingerprint: reader.get_fingerprint(),
        crashes: reader.get_crashes()?.iter().collect(),
        acquitted: reader.get_acquitted()?.iter().collect(),
        judged: reader.get_judged(),
        remaining: Span::from_millis(reader.get_left_ms()),
    })
}

fn read_part(reader: part::Reader<'_>) -> capnp::Result<quarantine::PartItem> {
    let answered = Span::from_millis(reader.get_answered_ms());
    let crashes = reader.get_crashes()?.iter();
    Ok(quarantine::PartItem {
        part: reader.get_hash(),
        crashes: crashes
            .map(|crash| (crash.get_replica(), Span::from_millis(crash.get_age_ms())))
            .collect(),
        answered: reader.get_is_answered().then_some(answered),
    })
}

fn read_crash(reader: crash::Reader<'_>) -> quarantine::Crash {
    quarantine::Crash {
        replica: reader.get_replica(),
        zone: reader.get_zone(),
        age: Span::from_millis(reader.get_age_ms()),
    }
}

fn read_quarantine_claim(reader: alone::Reader<'_>) -> quarantine::Claim {
    quarantine::Claim {
        fingerprint: reader.get_fingerprint(),
        replica: reader.get_replica(),
    }
}
