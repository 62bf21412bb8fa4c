//! Three processes compete for one lease; its holder is paused and another takes over.
//!
//! `cargo run -p lease --example rivals`

use clock::Span;
use clock::Time;
use lease::claim::Claim;
use lease::claim::Effect;
use lease::claim::Event;
use lease::configs::claim::Settings;
use lease::holder;
use store::fake::Table;

const STEP: Span = Span::from_millis(250);
const STEPS: u64 = 120;
/// Steps during which the first process is paused.
const PAUSED: std::ops::Range<u64> = 20..80;

fn main() {
    let mut table = Table::new();
    let mut claims: Vec<Claim> = (0..3)
        .map(|index| {
            Claim::new(
                holder::Id(index + 1),
                "fleet/thesis",
                Settings::default(),
                index,
            )
        })
        .collect();
    for (index, claim) in claims.iter_mut().enumerate() {
        for report in feed(claim, Time::ZERO, Event::Want(true), &mut table) {
            println!("at=0 process={} {report}", index + 1);
        }
    }
    for step in 0..STEPS {
        let now = Time::ZERO + STEP.times(step);
        for (index, claim) in claims.iter_mut().enumerate() {
            let paused = index == 0 && PAUSED.contains(&step);
            if !paused {
                for report in feed(claim, now, Event::Wake, &mut table) {
                    println!("at={now} process={} {report}", index + 1);
                }
            }
        }
    }
}

/// Feeds one event, makes the resulting store calls, and returns what was reported to the process.
fn feed(claim: &mut Claim, now: Time, event: Event, table: &mut Table) -> Vec<String> {
    let mut effects = Vec::new();
    claim.step(now, event, &mut effects);
    let mut reports = Vec::new();
    for effect in effects {
        match effect {
            Effect::Store { id, call } => {
                let outcome = table.apply(&call);
                reports.extend(feed(claim, now, Event::Store { id, outcome }, table));
            }
            Effect::Gained(fence) => reports.push(format!("gained fence={fence}")),
            Effect::Renewed(_) => {}
            Effect::Lost(_) => reports.push(String::from("lost")),
        }
    }
    reports
}
