//! Metrics of one process in the Prometheus text format.

use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::{MeterProviderBuilder, SdkMeterProvider};
use prometheus::{Encoder, Registry, TextEncoder};
use std::fmt;

/// Registry of the metrics that are recorded through its meter.
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
    /// Creates an empty registry; `configure` adjusts the meter provider.
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

    /// The meter that creates the instruments.
    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter("cicadastall")
    }

    /// All metrics as text.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("cannot encode the metrics: {error}");
        }
        text
    }
}

/// A histogram of durations with the upper bounds `buckets`, in milliseconds.
pub(crate) fn time_histogram(meter: &Meter, name: &'static str, buckets: &[f64]) -> Histogram<f64> {
    meter.f64_histogram(name).with_unit("ms").with_boundaries(buckets.to_vec()).build()
}
