//! What schedulers tell each other, as the payload of a piece of news.

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
use crate::peer_capnp::suspect;

/// The packed form of a scheduler's digest.
pub fn encode(digest: &Digest) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<news::Builder<'_>>();
    let claims = &digest.limit.claims;
    let mut to = root.reborrow().init_claims(count(claims.len()));
    for (at, claim) in claims.iter().enumerate() {
        write_claim(claim, to.reborrow().get(count(at)));
    }
    write_quarantine(&digest.quarantine, root);
    let mut bytes = Vec::new();
    // Writing to memory can't fail; an empty payload would be passed over by its readers.
    let _ = serialize_packed::write_message(&mut bytes, &message);
    bytes
}

/// The digest of a packed form.
pub fn decode(bytes: &[u8]) -> capnp::Result<Digest> {
    let message = serialize_packed::read_message(bytes, ReaderOptions::new())?;
    let root = message.get_root::<news::Reader<'_>>()?;
    let claims = root.get_claims()?.iter().map(read_claim).collect();
    Ok(Digest {
        limit: limit::Digest { claims },
        quarantine: read_quarantine(root)?,
    })
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn write_claim(claim: &limit::Claim, mut to: claim::Builder<'_>) {
    to.set_name(claim.name);
    to.set_demand(claim.demand);
    to.set_wanted(claim.wanted);
    to.set_tokens(claim.tokens);
    to.set_open(claim.open);
}

fn read_claim(from: claim::Reader<'_>) -> limit::Claim {
    limit::Claim {
        name: from.get_name(),
        demand: from.get_demand(),
        wanted: from.get_wanted(),
        tokens: from.get_tokens(),
        open: from.get_open(),
    }
}

fn write_quarantine(digest: &quarantine::Digest, mut root: news::Builder<'_>) {
    let mut suspects = root.reborrow().init_suspects(count(digest.items.len()));
    for (at, item) in digest.items.iter().enumerate() {
        write_suspect(item, suspects.reborrow().get(count(at)));
    }
    let mut crashes = root.reborrow().init_crashes(count(digest.crashes.len()));
    for (at, crash) in digest.crashes.iter().enumerate() {
        let mut to = crashes.reborrow().get(count(at));
        to.set_replica(crash.replica);
        to.set_zone(crash.zone);
        to.set_age_ms(crash.age.as_millis());
    }
    let mut claims = root.init_alone(count(digest.claims.len()));
    for (at, claim) in digest.claims.iter().enumerate() {
        let mut to = claims.reborrow().get(count(at));
        to.set_fingerprint(claim.fingerprint);
        to.set_replica(claim.replica);
    }
}

fn write_suspect(item: &quarantine::Item, mut to: suspect::Builder<'_>) {
    to.set_fingerprint(item.fingerprint);
    to.set_judged(item.judged);
    to.set_left_ms(item.remaining.as_millis());
    let mut crashes = to.reborrow().init_crashes(count(item.crashes.len()));
    for (at, replica) in item.crashes.iter().enumerate() {
        crashes.set(count(at), *replica);
    }
    let mut acquitted = to.init_acquitted(count(item.acquitted.len()));
    for (at, replica) in item.acquitted.iter().enumerate() {
        acquitted.set(count(at), *replica);
    }
}

fn read_quarantine(root: news::Reader<'_>) -> capnp::Result<quarantine::Digest> {
    let mut digest = quarantine::Digest::default();
    for from in root.get_suspects()? {
        digest.items.push(read_suspect(from)?);
    }
    digest.crashes = root.get_crashes()?.iter().map(read_crash).collect();
    digest.claims = root.get_alone()?.iter().map(read_alone).collect();
    Ok(digest)
}

fn read_suspect(from: suspect::Reader<'_>) -> capnp::Result<quarantine::Item> {
    Ok(quarantine::Item {
        fingerprint: from.get_fingerprint(),
        crashes: from.get_crashes()?.iter().collect(),
        acquitted: from.get_acquitted()?.iter().collect(),
        judged: from.get_judged(),
        remaining: Span::from_millis(from.get_left_ms()),
    })
}

fn read_crash(from: crash::Reader<'_>) -> quarantine::Crash {
    quarantine::Crash {
        replica: from.get_replica(),
        zone: from.get_zone(),
        age: Span::from_millis(from.get_age_ms()),
    }
}

fn read_alone(from: alone::Reader<'_>) -> quarantine::Claim {
    quarantine::Claim {
        fingerprint: from.get_fingerprint(),
        replica: from.get_replica(),
    }
}
