//! Guards against shared prompt parts that are prefilled again at each engine. This happens with
//! thousands of sessions that send a request every few seconds, each to a different entry and
//! region.

use oriolecrank_routing::{PartId, PartPlacements, PlacedParts, PlacementLog, UpstreamName};

use crate::fixtures::at;

fn record(log: &mut PlacementLog, entry_run: u64, part: u64, engine: &str, now: u64) {
    log.record(
        entry_run,
        PartId(part),
        &UpstreamName::from(engine),
        at(now),
    );
}

fn placed_parts(engine: &str, parts: &[u64]) -> PlacedParts {
    PlacedParts {
        upstream: UpstreamName::from(engine),
        parts: parts.iter().copied().map(PartId).collect(),
    }
}

#[test]
fn each_part_is_returned_once_with_its_newest_placement() {
    let mut log = PlacementLog::default();
    record(&mut log, 1, 7, "a", 0);
    record(&mut log, 2, 8, "b", 10);
    record(&mut log, 2, 7, "b", 20);
    assert_eq!(log.since(0, Some(3)), [placed_parts("b", &[7, 8])]);
    assert_eq!(log.since(2, Some(3)), [placed_parts("b", &[7])]);
    assert_eq!(log.since(log.newest_sequence(), Some(3)), []);
}

#[test]
fn the_placements_of_the_requesting_entry_are_left_out() {
    let mut log = PlacementLog::default();
    record(&mut log, 1, 7, "a", 0);
    record(&mut log, 2, 8, "b", 0);
    assert_eq!(log.since(0, Some(2)), [placed_parts("a", &[7])]);
    assert_eq!(log.since(0, None).len(), 2);
}

#[test]
fn expired_placements_are_not_returned() {
    let mut log = PlacementLog::default();
    record(&mut log, 1, 7, "a", 0);
    record(&mut log, 1, 8, "a", 9_000);
    assert_eq!(log.since(0, None), [placed_parts("a", &[8])]);

    let engine = UpstreamName::from("a");
    let mut placements = PartPlacements::default();
    placements.record(PartId(7), &engine, at(0));
    assert_eq!(placements.find(PartId(7), at(3_000)), Some(&engine));
    assert_eq!(placements.find(PartId(7), at(9_000)), None);
}
