//! Guards against usage that is counted twice, lost between syncs or assigned to the wrong window.

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
fn repeated_and_reordered_reports_are_counted_once() {
    let organisation = OrganisationName::from("o");
    let window = WindowNumber(7);
    let mut counter = UsageCounter::default();
    let mut collector = UsageCollector::default();
    counter.count(&organisation, window);
    let first_report = counter.windows().to_vec();
    counter.count(&organisation, window);
    let second_report = counter.windows().to_vec();
    for report in [&second_report, &first_report, &second_report] {
        collector.record(&run("a", 1), report.clone());
    }
    assert_eq!(collector.total(window).get(&organisation), Some(&2));
}

#[test]
fn counts_of_several_runs_of_one_entry_add_up() {
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
fn a_counter_retains_the_newest_windows_in_order() {
    let organisation = OrganisationName::from("o");
    let mut counter = UsageCounter::default();
    for window in [9, 7, 8, 1, 10, 11, 12, 13] {
        counter.count(&organisation, WindowNumber(window));
    }
    let retained: Vec<u64> = counter
        .windows()
        .iter()
        .map(|counts| counts.window.0)
        .collect();
    assert_eq!(retained, [8, 9, 10, 11, 12, 13]);
}

#[test]
fn reports_of_differences_add_up_to_the_counted_total() {
    let names = ["a", "b", "c"].map(OrganisationName::from);
    let mut counter = UsageCounter::default();
    let mut collector = UsageCollector::default();
    let mut acknowledged = Vec::new();
    for step in 0..30_usize {
        counter.count(&names[step * step % 3], WindowNumber(step as u64 / 10));
        // Every third report is lost.
        if step % 3 > 0 {
            let unacknowledged = unacknowledged_counts(counter.windows(), &acknowledged);
            collector.record(&run("a", 1), unacknowledged);
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
