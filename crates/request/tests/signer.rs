//! Sealed words open only whole, under the same key and for the same purpose.

use request::id::Id;
use request::id::Incarnation;
use request::id::Stream;
use request::resume::Resume;
use request::signer::Signer;
use smol_str::SmolStr;

const KEY: &str = "a common key of all entries";

fn word() -> Resume {
    let request = Id {
        incarnation: Incarnation(5),
        serial: 6,
    };
    Resume {
        request,
        account: SmolStr::new_static("omuramba"),
        deployment: SmolStr::new_static("thesis"),
        stream: Stream {
            request,
            attempt: 1,
        },
        address: SmolStr::new_static("127.0.0.1:9000"),
        incarnation: SmolStr::new_static("i-1.1"),
        base: 0,
    }
}

#[test]
fn a_word_comes_back_as_it_was() {
    let seal = Signer::new(KEY, "resume");
    assert_eq!(seal.verify::<Resume>(&seal.sign(&word())), Some(word()));
}

/// A caller would read another account's answer: it changes the account in its own word.
#[test]
fn a_changed_word_does_not_open() {
    let seal = Signer::new(KEY, "resume");
    let text = seal.sign(&word());
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] = if bytes[at] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8(bytes).unwrap();
        assert_eq!(seal.verify::<Resume>(&changed), None, "changed at {at}");
    }
}

#[test]
fn neither_another_key_nor_another_purpose_opens_it() {
    let text = Signer::new(KEY, "resume").sign(&word());
    assert_eq!(
        Signer::new("another", "resume").verify::<Resume>(&text),
        None
    );
    assert_eq!(Signer::new(KEY, "ticket").verify::<Resume>(&text), None);
    for garbage in ["", "0", "zz", "äö", "00ff"] {
        assert_eq!(Signer::new(KEY, "resume").verify::<Resume>(garbage), None);
    }
}
