//! Signals to the daemon, as a process.

#![allow(clippy::unwrap_used)]

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use soak::starts::CALLERS_PORT;
use soak::starts::Moment;
use soak::starts::Program;

/// Moments at which signals come: spread over a start, and the two at which it is most exposed.
const MOMENTS: [Moment; 10] = [
    Moment::After(0),
    Moment::After(2),
    Moment::After(5),
    Moment::After(10),
    Moment::After(20),
    Moment::After(35),
    Moment::After(50),
    Moment::Starting,
    Moment::Connected,
    Moment::Connected,
];

/// Guards against a reload that ends an entry which has just started, with its callers' requests.
#[test]
fn a_reload_right_after_the_start_ends_nothing() {
    for signals in [&[Signal::HUP][..], &[Signal::HUP; 4]] {
        for (moment, outcome) in program().play_all(&MOMENTS, signals, false).unwrap() {
            let runs_on = outcome.status.is_none() && outcome.is_answered();
            let is_too_early = matches!(moment, Moment::After(_)) && outcome.has_died_unstarted();
            assert!(runs_on || is_too_early, "{moment:?}: {outcome:?}");
        }
    }
}

/// Guards against a stop that kills an entry which has just started, instead of draining it, and against further signals
/// that do.
#[test]
fn a_stop_right_after_the_start_is_graceful() {
    let series = [
        &[Signal::TERM][..],
        &[Signal::TERM; 3],
        &[Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM],
        &[Signal::INT, Signal::INT],
    ];
    for signals in series {
        for (moment, outcome) in program().play_all(&MOMENTS, signals, true).unwrap() {
            let code = outcome.status.and_then(|status| status.code());
            let is_served =
                outcome.is_answered() || outcome.answer.is_none() && moment != Moment::Connected;
            let is_too_early = matches!(moment, Moment::After(_)) && outcome.has_died_unstarted();
            assert!(
                code == Some(0) && is_served || is_too_early,
                "{signals:?} {moment:?}: {outcome:?}"
            );
        }
    }
}

/// Time for which callers may keep an address, longer than anything else that a stop waits for here.
const PATIENT_TTL: Duration = Duration::from_millis(6_000);

/// Guards against ending requests, and leaving callers with a cached address alone, because a stop is requested repeatedly.
#[test]
fn a_stop_that_is_requested_repeatedly_is_one_graceful_stop() {
    let program = Program {
        settings: patient_settings,
        ..program()
    };
    for signal in [Signal::TERM, Signal::INT] {
        let outcome = program.play(Moment::Connected, &[signal; 4], true).unwrap();
        assert!(outcome.is_answered(), "{outcome:?}");
        assert!(outcome.lasted >= PATIENT_TTL, "{outcome:?}");
        assert_eq!(outcome.status.unwrap().code(), Some(0));
    }
    let signals = [Signal::TERM, Signal::QUIT];
    let outcome = program.play(Moment::Connected, &signals, true).unwrap();
    assert!(outcome.lasted < PATIENT_TTL, "{outcome:?}");
    assert_eq!(outcome.status.unwrap().code(), Some(0));
}

fn program() -> Program {
    Program {
        path: PathBuf::from(env!("CARGO_BIN_EXE_dogwoodspurd")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("signals"),
        settings,
    }
}

/// Returns settings of an entry whose platform isn't there.
fn settings(host: Ipv4Addr) -> String {
    settings_with(host, 100)
}

fn patient_settings(host: Ipv4Addr) -> String {
    settings_with(host, PATIENT_TTL.as_millis() as u64)
}

fn settings_with(host: Ipv4Addr, address_ttl_ms: u64) -> String {
    let port = |offset: u16| format!("{host}:{}", CALLERS_PORT + offset);
    let absent = format!("http://{}", port(9));
    let settings = json!({
        "identity": {"name": "entry", "zone": "a"},
        "callers": {"listen": port(0), "address_ttl_ms": address_ttl_ms},
        "admin": {"listen": port(1)},
        "operators": {"listen": port(2), "key": "operators-of-one-test"},
        "peers": {"listen": port(3), "key": "signals: entries of one test"},
        "platform": {"table_service": absent, "cloud": absent},
        "shutdown": {"grace_ms": 1000},
    });
    settings.to_string()
}
