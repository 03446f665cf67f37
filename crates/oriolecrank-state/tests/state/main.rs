//! Tests of configuration documents and of the replicated state machine.

mod bounds;
mod capacity_commands;
mod claim_commands;
mod claim_model;
mod cluster_fixture;
mod configuration_commands;
mod configuration_model;
mod document_delta;
mod document_validation;
mod feed_and_queries;
mod fixtures;
mod membership_commands;
mod random_command;
mod replica_properties;
mod suspect_commands;
mod suspect_model;
mod usage_commands;
mod usage_model;
