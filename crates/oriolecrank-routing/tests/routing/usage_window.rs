//! Guards against usage that is counted twice, lost between syncs or put into the wrong window.

use std::time::Duration;

use oriolecrank_routing::{
    EntryName, EntryRun, OrganisationName, UsageCollector, UsageCounter, WindowNumber,
    unacknowledged_counts,
};

fn run(entry: &str, run: u64) -> EntryRun {
    EntryRun {
        entry: EntryName::from(entry),
        run,
    }
}

#[test]
fn windows_are_numbered_from_the_start_of_1970() {
    let length = Duration::from_secs(5);
    assert_eq!(WindowNumber::at(4_999, length), WindowNumber(0));
    assert_eq!(WindowNumber::at(5_000, length), WindowNumber(1));
    assert_eq!(WindowNumber(1).end_ms(length), 10_000);
}

#[test]
fn repeated_late_and_reordered_reports_count_once() {
    let organisation = OrganisationName::from("o");
    let window = WindowNumber(7);
    let mut counter = UsageCounter::default();
    let mut collector = UsageCollector::default();
    counter.count(&organisation, window);
    let early = counter.windows().to_vec();
    counter.count(&organisation, window);
    let late = counter.windows().to_vec();
    for report in [&late, &early, &late] {
        collector.record(&run("a", 1), report.clone());
    }
    assert_eq!(collector.total(window).get(&organisation), Some(&2));
}

#[test]
fn runs_of_one_entry_add_up_because_each_starts_at_0() {
    let organisation = OrganisationName::from("o");
    let window = WindowNumber(7);
    let mut collector = UsageCollector::default();
    for number in 0..3 {
        let mut counter = UsageCounter::default();
        counter.count(&organisation, window);
        collector.record(&run("a", number), counter.windows().to_vec());
    }
    assert_eq!(collector.total(window).get(&organisation), Some(&3));
}

#[test]
fn a_counter_keeps_the_newest_windows_in_order() {
    let organisation = OrganisationName::from("o");
    let mut counter = UsageCounter::default();
    for window in [9, 7, 8, 1, 10, 11, 12, 13] {
        counter.count(&organisation, WindowNumber(window));
    }
    let kept: Vec<u64> = counter
        .windows()
        .iter()
        .map(|counts| counts.window.0)
        .collect();
    assert_eq!(kept, [8, 9, 10, 11, 12, 13]);
}

#[test]
fn a_receiver_that_gets_only_what_it_has_not_seen_has_the_same_total() {
    let names = ["a", "b", "c"].map(OrganisationName::from);
    let mut counter = UsageCounter::default();
    let mut collector = UsageCollector::default();
    let mut acknowledged = Vec::new();
    for step in 0..30_usize {
        counter.count(&names[step * step % 3], WindowNumber(step as u64 / 10));
        // Every third report is lost.
        if step % 3 > 0 {
            let unseen = unacknowledged_counts(counter.windows(), &acknowledged);
            collector.record(&run("a", 1), unseen);
            acknowledged = counter.windows().to_vec();
        }
    }
    for counts in counter.windows() {
        let total = collector.total(counts.window);
        for (name, count) in &counts.counts {
            assert_eq!(
                total.get(name),
                Some(count),
                "{name} in {:?}",
                counts.window
            );
        }
    }
    assert!(unacknowledged_counts(counter.windows(), &acknowledged).is_empty());
}
