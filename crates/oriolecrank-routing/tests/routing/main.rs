//! Tests of the decisions of a gateway.

mod arrival_budget;
mod direct_chooser;
mod fixtures;
mod load_board;
mod member_repair;
mod part_placement;
mod patience_range;
mod route_document;
mod site_state;
mod sync_targets;
mod upstream_directory;
mod usage_window;
