//! Metrics of one process in the text format that scrapers read.

use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::{MeterProviderBuilder, SdkMeterProvider};
use prometheus::{Encoder, Registry, TextEncoder};
use std::fmt;

/// Holds what is measured through its meter.
pub(crate) struct ScrapeRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl fmt::Debug for ScrapeRegistry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ScrapeRegistry").finish_non_exhaustive()
    }
}

impl ScrapeRegistry {
    /// An empty registry, set up further by `configure`.
    pub(crate) fn new(
        configure: impl FnOnce(MeterProviderBuilder) -> MeterProviderBuilder,
    ) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry has no colliding metrics");
        let builder = SdkMeterProvider::builder().with_reader(exporter);
        Self { registry, provider: configure(builder).build() }
    }

    /// Makes the instruments.
    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter("cicadastall")
    }

    /// Everything that was measured.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics not rendered: {error}");
        }
        text
    }
}

/// A histogram of times, with `buckets` in milliseconds.
pub(crate) fn time_histogram(meter: &Meter, name: &'static str, buckets: &[f64]) -> Histogram<f64> {
    meter.f64_histogram(name).with_unit("ms").with_boundaries(buckets.to_vec()).build()
}
