//! Metric of a byte budget.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;

use crate::intake::byte_budget::ByteBudget;

impl Collector for ByteBudget {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let gauge = ConstGauge::new(i64::try_from(self.used()).unwrap_or(i64::MAX));
        let help = "Bytes that are held for clients";
        let metric =
            encoder.encode_descriptor("client", help, Some(&Unit::Bytes), gauge.metric_type())?;
        gauge.encode(metric)
    }
}
