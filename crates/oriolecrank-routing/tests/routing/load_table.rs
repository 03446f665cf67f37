//! Guards against loads that stay in the table after their entry has gone, which made every engine
//! look full after a rolling restart of the entries.

use oriolecrank_routing::{
    EntryName, EntryRun, LoadTable, UpstreamLoad, UpstreamLoads, UpstreamName,
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
        pending_prefill_tokens: u64::from(running) * 100,
        ..UpstreamLoad::default()
    };
    UpstreamLoads::from([(UpstreamName::from("u"), load)])
}

#[test]
fn an_entry_that_stops_or_falls_silent_leaves_no_load() {
    let mut table = LoadTable::default();
    table.set_entry_loads(&run(1), loads(5), at(0));
    table.set_entry_loads(&run(2), loads(7), at(3_000));
    assert_eq!(table.loads_excluding(&run(2)), loads(5));
    table.prune(at(4_001));
    assert_eq!(table.loads_excluding(&run(3)), loads(7));
    table.remove_entry(&run(2));
    assert_eq!(table.loads_excluding(&run(3)), UpstreamLoads::new());
    assert_eq!(table.entry_count(), 0);
}

proptest! {
    /// Guards against an incrementally updated sum that differs from the sum over the newest
    /// reports.
    #[test]
    fn the_sum_equals_a_sum_over_all_reports(
        steps in prop::collection::vec((0..4_u64, 0..3_u8, 0..9_u32), 0..40),
    ) {
        let mut table = LoadTable::default();
        let mut model = std::collections::BTreeMap::new();
        for (number, kind, running) in steps {
            if kind == 0 {
                table.remove_entry(&run(number));
                model.remove(&number);
            } else {
                table.set_entry_loads(&run(number), loads(running), at(0));
                model.insert(number, running);
            }
            let sum: u32 = model.values().sum();
            let total = table.loads_excluding(&run(99));
            prop_assert_eq!(total.get("u").map_or(0, |load| load.running), sum);
        }
    }
}
