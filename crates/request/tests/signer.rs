//! Signed tokens verify only if intact, with the same key and for the same purpose.

use request::id::Id;
use request::id::Incarnation;
use request::id::Stream;
use request::resume::Resume;
use request::signer::Signer;
use smol_str::SmolStr;

const KEY: &str = "a common key of all entries";

fn resume() -> Resume {
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
fn a_signed_token_verifies() {
    let signer = Signer::new(KEY, "resume");
    assert_eq!(
        signer.verify::<Resume>(&signer.sign(&resume())),
        Some(resume())
    );
}

/// A caller changes the account in its own token to read another account's answer.
#[test]
fn a_changed_token_does_not_verify() {
    let signer = Signer::new(KEY, "resume");
    let text = signer.sign(&resume());
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] = if bytes[index] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8(bytes).unwrap();
        assert_eq!(
            signer.verify::<Resume>(&changed),
            None,
            "changed at {index}"
        );
    }
}

#[test]
fn a_token_of_another_key_or_purpose_does_not_verify() {
    let text = Signer::new(KEY, "resume").sign(&resume());
    assert_eq!(
        Signer::new("another", "resume").verify::<Resume>(&text),
        None
    );
    assert_eq!(Signer::new(KEY, "ticket").verify::<Resume>(&text), None);
    for garbage in ["", "0", "zz", "äö", "00ff"] {
        assert_eq!(Signer::new(KEY, "resume").verify::<Resume>(garbage), None);
    }
}
