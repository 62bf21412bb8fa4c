//! An operator's change that is retried because its response was lost.

mod harness;

use harness::cluster::Cluster;
use harness::cluster::Size;
use ops::client::Kind;
use ops::request::Edit;
use standin::sample;

const SIZE: Size = Size {
    entries: 2,
    engines: 1,
    services: 0,
    token_ms: 5,
};

/// The response to a change is lost, and the command retries it under the same id at the same and at another
/// entry. Each must answer that it was accepted, not that the deployment exists already.
#[test]
fn a_creation_or_removal_that_is_sent_again_gets_the_first_result() {
    harness::run(async {
        let cluster = Cluster::deployed(&SIZE).await;
        let mut first = cluster.operator(0).await;
        let mut other = cluster.operator(1).await;
        let mut second = sample::model();
        second.name = "second".into();
        let base_version = first.version().await;
        let create = Edit::CreateDeployment(second);
        let created = first
            .expect_accepted("create", base_version, create.clone())
            .await;
        let remove = Edit::RemoveDeployment("second".into());
        for operator in [&mut first, &mut other] {
            let retry = operator
                .expect_accepted("create", base_version, create.clone())
                .await;
            assert_eq!(retry, created);
        }
        let second_creation = first.change("create-2", created, create).await.unwrap_err();
        assert_eq!(second_creation.kind, Kind::AlreadyExists);
        let removed = first
            .expect_accepted("remove", created, remove.clone())
            .await;
        for operator in [&mut first, &mut other] {
            let retry = operator
                .expect_accepted("remove", created, remove.clone())
                .await;
            assert_eq!(retry, removed);
        }
    });
}
