//! Tests of the policy, which is driven by events alone.

mod customers;
mod fleet;
mod harness;
mod leases;
mod locations;
mod property;
mod rules;
mod settings;
mod slow_start;
mod subsets;
