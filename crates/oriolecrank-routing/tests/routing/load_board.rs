//! Guards against loads that stay on the board after their entry has gone, which made every engine
//! look full after entries were restarted in turn.

use oriolecrank_routing::{
    EntryName, EntryRun, LoadBoard, UpstreamLoad, UpstreamLoads, UpstreamName,
};
use proptest::prelude::*;

use crate::fixtures::at;

fn run(number: u64) -> EntryRun {
    EntryRun {
        entry: EntryName::from("entry"),
        run: number,
    }
}

fn loads(running: u32) -> UpstreamLoads {
    let load = UpstreamLoad {
        running,
        unread_tokens: u64::from(running) * 100,
        ..UpstreamLoad::default()
    };
    UpstreamLoads::from([(UpstreamName::from("u"), load)])
}

#[test]
fn an_entry_that_stops_or_falls_silent_leaves_no_load() {
    let mut board = LoadBoard::default();
    board.note(&run(1), loads(5), at(0));
    board.note(&run(2), loads(7), at(3_000));
    assert_eq!(board.beside(&run(2)), loads(5));
    board.prune(at(4_001));
    assert_eq!(board.beside(&run(3)), loads(7));
    board.forget(&run(2));
    assert_eq!(board.beside(&run(3)), UpstreamLoads::new());
    assert_eq!(board.entry_count(), 0);
}

proptest! {
    /// The kept sum equals the sum over the newest reports.
    #[test]
    fn the_sum_equals_a_sum_over_all_reports(
        steps in prop::collection::vec((0..4_u64, 0..3_u8, 0..9_u32), 0..40),
    ) {
        let mut board = LoadBoard::default();
        let mut model = std::collections::BTreeMap::new();
        for (number, kind, running) in steps {
            if kind == 0 {
                board.forget(&run(number));
                model.remove(&number);
            } else {
                board.note(&run(number), loads(running), at(0));
                model.insert(number, running);
            }
            let sum: u32 = model.values().sum();
            let board = board.beside(&run(99));
            prop_assert_eq!(board.get("u").map_or(0, |load| load.running), sum);
        }
    }
}
