//! Digests of schedulers on the wire.

use clock::Span;
use policy::quarantine::PartItem;
use policy::scheduler::Digest;

/// Guards against evidence on parts of prompts that is lost or changed on its way to other entries.
#[test]
fn evidence_on_parts_arrives_as_it_was_sent() {
    let mut digest = Digest::default();
    digest.quarantine.parts = vec![
        PartItem {
            part: 7,
            crashes: vec![(1, Span::from_millis(20)), (u64::MAX, Span::ZERO)],
            answered: Some(Span::ZERO),
        },
        PartItem {
            part: u64::MAX,
            crashes: Vec::new(),
            answered: None,
        },
    ];
    let bytes = wire::scheduler::encode(&digest);
    assert_eq!(wire::scheduler::decode(&bytes).ok(), Some(digest));
}
