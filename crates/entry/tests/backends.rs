//! Tests of the registry of backend servers.

use clock::Span;
use clock::Time;
use entry::backends::Backends;
use entry::backends::Change;
use entry::instance::Instance;
use policy::mix::Kind;
use policy::mix::Market;
use policy::replica;
use smol_str::SmolStr;
use smol_str::format_smolstr;

fn instance(incarnation: &str, leaving: bool) -> Instance {
    Instance {
        id: incarnation.into(),
        incarnation: incarnation.into(),
        address: "127.0.0.1:9000".into(),
        zone: "a".into(),
        pool: "thesis".into(),
        kind: Kind {
            zone: "a".into(),
            class: "g4".into(),
            market: Market::Reclaimable,
        },
        hourly_micros: 0,
        leaving,
    }
}

/// Guards against dispatching to a server that announced its end: the instance list lags and shows the
/// server as live again after the notice.
#[test]
fn a_stale_list_never_revives_a_server() {
    let now = Time::from_millis(1);
    let mut backends = Backends::default();
    let live = [instance("i-1.1", false)];
    assert!(matches!(
        backends.reconcile(now, &live)[..],
        [Change::Joined(_)]
    ));
    backends.add(replica::Key(0), instance("i-1.1", false));
    assert!(backends.mark_leaving("i-1.1".into()));
    assert!(backends.reconcile(now, &live).is_empty());
    assert!(backends.is_leaving("i-1.1"));
    backends.remove("i-1.1");
    assert!(backends.reconcile(now, &live).is_empty());
    let returned = [instance("i-1.2", false)];
    assert!(matches!(
        backends.reconcile(now, &returned)[..],
        [Change::Joined(_)]
    ));
}

#[test]
fn a_server_that_the_list_calls_leaving_is_cleared_in_time() {
    let now = Time::from_millis(5);
    let mut backends = Backends::default();
    backends.add(replica::Key(0), instance("i-1.1", false));
    let changes = backends.reconcile(now, &[instance("i-1.1", true)]);
    let expected = Change::Leaving("i-1.1".into(), now + Span::from_seconds(30));
    assert_eq!(changes, [expected]);
}

/// Guards against evicting leaving servers in alphabetical order, by which a server that just announced
/// its end could be forgotten.
#[test]
fn the_newest_leaves_are_remembered() {
    let mut backends = Backends::default();
    for number in 0..70_000 {
        backends.mark_leaving(format_smolstr!("z-{number}"));
    }
    let newest = SmolStr::new_static("a-1");
    backends.mark_leaving(newest.clone());
    backends.mark_leaving("z-70000".into());
    assert!(backends.is_leaving(&newest));
    assert!(!backends.is_leaving("z-0"));
}
