//! Guards against shared prompt parts that are read again at each engine. Pattern: thousands of
//! sessions, each of which is asked every few seconds at another entry and in another region.

use oriolecrank_routing::{PartId, PartPlacements, PlacedParts, PlacementLog, UpstreamName};

use crate::fixtures::at;

fn place(log: &mut PlacementLog, source: u64, part: u64, engine: &str, now: u64) {
    log.record(source, PartId(part), &UpstreamName::from(engine), at(now));
}

fn placed(engine: &str, parts: &[u64]) -> PlacedParts {
    PlacedParts {
        upstream: UpstreamName::from(engine),
        parts: parts.iter().copied().map(PartId).collect(),
    }
}

#[test]
fn a_reader_is_told_the_newest_place_of_each_part_once() {
    let mut log = PlacementLog::default();
    place(&mut log, 1, 7, "a", 0);
    place(&mut log, 2, 8, "b", 10);
    place(&mut log, 2, 7, "b", 20);
    assert_eq!(log.since(0, Some(3)), [placed("b", &[7, 8])]);
    assert_eq!(log.since(2, Some(3)), [placed("b", &[7])]);
    assert_eq!(log.since(log.newest_sequence(), Some(3)), []);
}

#[test]
fn an_entry_is_not_told_of_its_own_placements() {
    let mut log = PlacementLog::default();
    place(&mut log, 1, 7, "a", 0);
    place(&mut log, 2, 8, "b", 0);
    assert_eq!(log.since(0, Some(2)), [placed("a", &[7])]);
    assert_eq!(log.since(0, None).len(), 2);
}

#[test]
fn placements_that_engines_have_probably_dropped_are_forgotten() {
    let mut log = PlacementLog::default();
    place(&mut log, 1, 7, "a", 0);
    place(&mut log, 1, 8, "a", 9_000);
    assert_eq!(log.since(0, None), [placed("a", &[8])]);

    let engine = UpstreamName::from("a");
    let mut places = PartPlacements::default();
    places.record(PartId(7), &engine, at(0));
    assert_eq!(places.find(PartId(7), at(3_000)), Some(&engine));
    assert_eq!(places.find(PartId(7), at(9_000)), None);
}
