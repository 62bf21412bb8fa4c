//! Requests on their way to a server that starts to leave or whose row is missing.

mod support;

use gateway::attempt::End;
use gateway::attempt::Report;
use support::World;

#[test]
fn a_leaving_server_gets_no_more_requests() {
    // A busy entry placed a request on a server that then announced its leave, and sent it more than three
    // seconds later. The server was gone before the answer was complete: the request's task was never
    // notified.
    let mut world = World::new(2);
    world.run(1_000);
    world.servers[0].leaving = true;
    world.publish_servers();

    let notified: Vec<usize> = world
        .closed_servers
        .iter()
        .map(|(entry, _)| *entry)
        .collect();
    assert_eq!(notified, [0, 1]);
    assert!(
        world
            .closed_servers
            .iter()
            .all(|(_, server)| server == "s0#1")
    );
}

#[test]
fn a_removed_server_gets_no_more_requests() {
    let mut world = World::new(1);
    world.run(1_000);
    let gone = world.servers.remove(1);
    world.publish_servers();

    assert_eq!(world.closed_servers, [(0, gone.incarnation)]);
}

#[test]
fn a_server_whose_row_returns_gets_requests_again() {
    // The row of a live server lapsed and was written again. If the server stayed closed, each request
    // placed there would come back unsent.
    let mut world = World::new(1);
    world.run(1_000);
    let back = world.servers.remove(1);
    world.publish_servers();
    world.run(1_000);
    world.servers.push(back);
    world.publish_servers();

    assert!(world.closed_servers.is_empty());
}

#[test]
fn a_server_whose_row_ended_during_a_gap_gets_no_more_requests() {
    // A request reached a server 2.3 s after its row had ended. The sending entry had been cut off from the
    // table service and ignored missing rows for 2.5 s afterwards, since leases of live servers lapse in an
    // outage. Such attempts log missing_ms between 870 and 2,200.
    let mut world = World::new(2);
    world.run(3_000);
    world.fail_list(0);
    let ended = world.remove_server();
    world.send_removal(1, &ended.id);
    world.run(100);
    world.send_servers(0);
    world.run(300);

    assert_eq!(world.count_requests_to(0, &ended, 2_000), 0);
}

#[test]
fn servers_whose_rows_all_lapsed_still_get_requests() {
    // Leases of live servers lapse in an outage of the table service. If the entry trusted the empty list
    // that it reads first afterwards, it would refuse every request until the rows return.
    let mut world = World::new(1);
    world.run(3_000);
    world.fail_list(0);
    let all = std::mem::take(&mut world.servers);
    world.publish_servers();

    assert!(world.serve(0));
    world.run(1_000);
    world.servers = all;
    world.publish_servers();
    assert!(world.serve(0));
    assert!(world.closed_servers.is_empty());
}

#[test]
fn a_lapsed_row_has_two_seconds_from_the_first_read_to_return() {
    // A live server's row returned two seconds after the table service, as allowed. The entry had already
    // dropped the server: it counted from its last failed call rather than from the return.
    let mut world = World::new(1);
    world.run(3_000);
    world.fail_list(0);
    world.run(600);
    let lapsed = world.remove_server();
    world.send_servers(0);
    world.run(2_000);
    world.servers.push(lapsed);
    world.publish_servers();

    assert_eq!(world.log_count("server_gone"), 0);
}

#[test]
fn servers_whose_rows_lapsed_get_requests_while_the_others_are_full() {
    // Five of six servers lapsed in an outage. Placing all work on the one whose row returned first would
    // refuse requests beside five live servers.
    let mut world = World::new(1);
    world.run(3_000);
    world.fail_list(0);
    world.servers.truncate(1);
    world.publish_servers();

    let kept = world.servers[0].clone();
    let serials: Vec<u64> = (0..200).map(|_| world.stream(0)).collect();
    let places = serials
        .iter()
        .filter_map(|one| world.servers_by_request.get(one));
    let (to_listed, to_doubted): (Vec<_>, Vec<_>) = places.partition(|at| **at == kept.incarnation);
    assert_eq!(to_listed.len(), kept.slots as usize);
    assert!(!to_doubted.is_empty());
}

#[test]
fn an_entry_with_a_silent_feed_learns_of_ended_rows_from_peers() {
    // Entries that lag behind the table service sent requests to servers up to 4.2 s after their rows had
    // ended, although all others knew: entries reported leaving servers to each other, but not ended rows.
    let mut world = World::new(4);
    world.run(3_000);
    let ended = world.remove_server();
    for entry in 1..4 {
        world.send_removal(entry, &ended.id);
    }
    world.run(500);

    assert_eq!(world.count_requests_to(0, &ended, 2_000), 0);
}

#[test]
fn a_peers_report_of_an_ended_row_overrides_older_reads_but_not_newer_ones() {
    // After peers report an ended row, an entry with a lagging feed reads an older list that still holds it
    // and must not restore the server. Once the row is written again it must, or each lapse would lose a
    // server for good.
    let mut world = World::new(2);
    world.run(3_000);
    let before = (world.list_revision, world.servers.clone());
    let ended = world.remove_server();
    world.send_removal(1, &ended.id);
    world.run(300);
    world.send_servers_as_of(0, before.0, before.1);
    assert_eq!(world.count_requests_to(0, &ended, 500), 0);

    world.servers.push(ended.clone());
    world.publish_servers();
    world.run(300);
    assert!(world.count_requests_to(0, &ended, 500) > 0);
}

#[test]
fn rows_that_may_have_lapsed_are_not_reported_to_peers() {
    // Leases of live servers lapse in an outage of the table service. An entry that is cut off must not
    // lose its servers by the report of one that read the list too soon.
    let mut world = World::new(2);
    world.run(3_000);
    world.fail_list(1);
    let lapsed = world.remove_server();
    world.send_removal(1, &lapsed.id);
    world.run(500);

    assert!(world.count_requests_to(0, &lapsed, 500) > 0);
}

#[test]
fn the_list_is_read_again_once_the_table_service_answers_again() {
    // The table service fell silent for three seconds just after all entries had sent a long poll, and
    // never answered it. For 8.5 s after it recovered nobody noticed servers that left, and requests
    // reached them up to four seconds late: only the poll's own timeout showed that its answer was lost.
    let mut world = World::new(2);
    world.run(3_000);
    world.store_unresponsive = true;
    world.run(4_000);
    assert!(world.list_reads.is_empty());
    world.store_unresponsive = false;
    world.run(3_000);

    assert_eq!(world.list_reads, [(0, 1), (1, 1)].into());
}

#[test]
fn a_list_received_since_the_table_service_failed_is_not_read_again() {
    // Single calls fail for many reasons. If each made all entries read the whole list, a slow table service
    // would get even more load.
    let mut world = World::new(1);
    world.run(3_000);
    world.store_unresponsive = true;
    world.run(4_000);
    world.publish_servers();
    world.store_unresponsive = false;
    world.run(3_000);

    assert!(world.list_reads.is_empty());
}

#[test]
fn a_run_on_a_leaving_server_is_moved_and_not_recorded_as_a_crash() {
    // Streams that can't be restarted were cut whenever a zone was reclaimed, because planned moves were
    // ignored. A source that ends before the move is no crash; counted as one, it would quarantine the
    // request as poison.
    let mut world = World::new(1);
    world.run(1_000);
    let serial = world.stream(0);
    let place = world.servers_by_request[&serial].clone();
    let is_source = |server: &&mut watch::server::Server| server.incarnation == place;
    let leaving = world.servers.iter_mut().find(is_source).expect("a server");
    leaving.leaving = true;
    world.publish_servers();
    world.run(300);

    assert_eq!(world.moved_runs.len(), 1);
    assert_eq!(world.moved_runs[0].0, serial);
    assert_ne!(world.moved_runs[0].1, place);

    world.report(0, serial, Report::Ended(End::Broken { alive: false }));
    assert_eq!(world.log_count("run_moved"), 0);
    assert_eq!(world.refused.get("BackendFailed"), Some(&1));
    assert!(world.serve_path(0, "/talks/1"));
}
