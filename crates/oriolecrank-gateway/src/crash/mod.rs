//! Finds out which requests were running when an upstream crashed.

mod crash_probe;
mod silence_probe;

pub(crate) use crash_probe::CrashProbe;
pub(crate) use silence_probe::SilenceProbe;
