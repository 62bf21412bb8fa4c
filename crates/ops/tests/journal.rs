//! Traces that the journal keeps, and its bounds.

use clock::Time;
use ops::Journal;
use smol_str::SmolStr;
use verdict::Verdict;

/// Returns a journal with one request that arrived at 100 ms.
fn journal() -> Journal {
    let mut journal = Journal::new("entry-1".into());
    let (request, account) = (SmolStr::from("r-1"), SmolStr::from("branches"));
    journal.begin(Time::from_millis(100), &request, &account, &"thesis".into());
    journal
}

#[test]
fn steps_are_listed_in_order_with_the_time_since_arrival() {
    let mut journal = journal();
    journal.record(Time::from_millis(100), "r-1", "queued", "ahead=3");
    journal.record(Time::from_millis(140), "r-1", "started", "replica=i-1.1");
    assert_eq!(journal.explain("r-1").unwrap().verdict, None);
    journal.end("r-1", Verdict::Done);
    let explanation = journal.explain("r-1").unwrap();
    assert_eq!(
        (
            explanation.account.as_str(),
            explanation.deployment.as_str()
        ),
        ("branches", "thesis")
    );
    assert_eq!(explanation.verdict, Some(Verdict::Done));
    let steps: Vec<_> = explanation
        .steps
        .iter()
        .map(|step| (step.at_ms, step.event.as_str()))
        .collect();
    assert_eq!(steps, [(0, "queued"), (40, "started")]);
    assert!(journal.explain("r-2").is_none());
}

/// A caller resumes its request by token: the trace must go on instead of starting over.
#[test]
fn a_request_that_arrives_again_keeps_its_trace() {
    let mut journal = journal();
    journal.record(Time::from_millis(120), "r-1", "started", "");
    let (request, account) = (SmolStr::from("r-1"), SmolStr::from("branches"));
    journal.begin(Time::from_millis(900), &request, &account, &"thesis".into());
    journal.record(Time::from_millis(900), "r-1", "resumed", "offset=4");
    let steps = journal.explain("r-1").unwrap().steps;
    assert_eq!(steps[1].at_ms, 800);
}

/// One request moves endlessly and thousands of others arrive: memory must stay bounded.
#[test]
fn steps_details_and_requests_are_bounded() {
    let mut journal = journal();
    for _ in 0..100 {
        journal.record(Time::from_millis(200), "r-1", "moved", &"ä".repeat(1_000));
    }
    let steps = journal.explain("r-1").unwrap().steps;
    assert_eq!(steps.len(), 33);
    assert!(steps[0].detail.len() <= 256);
    assert_eq!(steps[32].detail, "steps=68");
    for number in 2..5_000 {
        let request = SmolStr::from(format!("r-{number}"));
        journal.begin(Time::ZERO, &request, &"branches".into(), &"thesis".into());
    }
    assert!(journal.explain("r-1").is_none());
    assert!(journal.explain("r-4999").is_some());
}
