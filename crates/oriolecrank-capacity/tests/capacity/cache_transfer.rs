//! Decisions on transfers of cached prefixes.

use std::time::Duration;

use oriolecrank_capacity::{
    HotPrefix, TokenRate, TransferDecision, TransferLink, TransferPlanner, TransferSettings,
};
use oriolecrank_schema::control::{Command, OrderAction, UpstreamPhase, UpstreamRole};

use crate::common::{engine, seconds, upstream};

const MIB: u64 = 1024 * 1024;

fn link(bytes_per_second: f64, crosses_regions: bool) -> TransferLink {
    TransferLink {
        bytes_per_second,
        latency: Duration::from_millis(20),
        crosses_regions,
    }
}

/// Guards against transfers that cost more than recomputing the prefix.
#[test]
fn prefix_is_transferred_only_if_cheaper_than_recomputing() {
    let prefill = TokenRate::per_second(9_000.0);
    let cases = [
        ("fast link", 8, link(2e9, false), true),
        ("slow link", 8, link(1e8, false), false),
        ("broken link", 8, link(0.0, false), false),
        ("no blocks", 0, link(2e9, false), false),
        (
            "volume between regions is too expensive",
            8,
            link(2e9, true),
            false,
        ),
        ("very fast link between regions", 8, link(1e12, true), false),
    ];
    for (name, blocks, link, expected) in cases {
        let settings = TransferSettings {
            cross_region_bytes_per_engine_second: 1024 * MIB,
            ..TransferSettings::default()
        };
        let decision = TransferPlanner::new(settings).decide(blocks, &link, prefill, seconds(0));
        let transfers = matches!(decision, TransferDecision::Transfer { .. });
        assert_eq!(transfers, expected, "{name}: {decision:?}");
    }
}

/// Guards against transfers between regions that do not count against the hourly limit.
#[test]
fn volume_between_regions_is_limited_per_hour() {
    let settings = TransferSettings {
        cross_region_bytes_per_hour: 2_000 * MIB,
        cross_region_bytes_per_engine_second: u64::MAX,
        ..TransferSettings::default()
    };
    let mut planner = TransferPlanner::new(settings);
    let source = engine("u0", "a", UpstreamRole::Prefill);
    let target = engine("u1", "b", UpstreamRole::Prefill);
    let prefixes = [HotPrefix {
        blocks: 10,
        uses_per_minute: 5.0,
    }];
    let prefill = TokenRate::per_second(9_000.0);
    let mut order = |now| {
        let candidates = [(&target, link(1e10, true))];
        planner.plan_export_before_drain(&source, &prefixes, candidates, prefill, now)
    };
    assert!(order(seconds(0)).is_some());
    assert!(order(seconds(60)).is_none(), "1,280 of 2,000 MiB are used");
    assert!(order(seconds(3_600)).is_some());
}

/// Guards against exports of rarely used prefixes, exports to upstreams that cannot use them, and
/// exports that exceed the memory of the target.
#[test]
fn hot_prefixes_are_exported_before_a_drain() {
    let source = engine("u0", "a", UpstreamRole::Prefill);
    let mut changing = engine("u1", "a", UpstreamRole::Prefill);
    changing.phase = UpstreamPhase::Changing;
    let other_role = engine("u2", "a", UpstreamRole::Decode);
    let other_region = engine("u3", "b", UpstreamRole::Prefill);
    let mut same_region = engine("u4", "a", UpstreamRole::Prefill);
    same_region.capacity_blocks = 16;
    let prefixes = [
        HotPrefix {
            blocks: 12,
            uses_per_minute: 4.0,
        },
        HotPrefix {
            blocks: 90,
            uses_per_minute: 0.1,
        },
    ];
    let candidates = [
        (&source, link(1e12, false)),
        (&changing, link(1e12, false)),
        (&other_role, link(1e12, false)),
        (&other_region, link(1e12, true)),
        (&same_region, link(5e9, false)),
    ];
    let prefill = TokenRate::per_second(9_000.0);
    let command = TransferPlanner::default().plan_export_before_drain(
        &source,
        &prefixes,
        candidates,
        prefill,
        seconds(0),
    );
    let Some(Command::PlaceOrder {
        upstream: ordered,
        action,
        ..
    }) = command
    else {
        panic!("expected an export order");
    };
    assert_eq!(ordered, upstream("u0"));
    let expected = OrderAction::ExportCache {
        target: upstream("u4"),
        blocks: 8,
    };
    assert_eq!(action, expected);
}
