//! Timing of a service's upstreams, as measured by this VM.

/// Weight of the newest sample in the moving averages.
const WEIGHT: f64 = 0.05;
/// Minimum number of events of an attempt from which `Timing::event_ms` is measured.
const MIN_MEASURED_EVENTS: usize = 10;

/// Moving averages of a service's timing, as measured by this VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Time to the first event when a slot was free, in milliseconds.
    pub first_event_ms: f64,
    /// Time for which an online request holds its slot, in milliseconds.
    pub slot_ms: f64,
    /// Time between two events of a batch item, in milliseconds; 0 before the first
    /// measurement.
    pub event_ms: f64,
    /// Tokens of a batch item per event, prompt included; infinite before the first
    /// measurement.
    pub event_tokens: f64,
}

impl Timing {
    /// Timing of a service before the first measurement.
    pub const INITIAL: Self =
        Self { first_event_ms: 50.0, slot_ms: 720.0, event_ms: 0.0, event_tokens: f64::INFINITY };

    /// Records a first event that came this many milliseconds after its request had taken a
    /// free slot.
    pub fn record_idle_first_event(&mut self, sample_ms: f64) {
        self.first_event_ms += (sample_ms - self.first_event_ms) * WEIGHT;
    }

    /// Records that an online request held its slot for this many milliseconds.
    pub fn record_slot_time(&mut self, sample_ms: f64) {
        self.slot_ms += (sample_ms - self.slot_ms) * WEIGHT;
    }

    /// Records that an attempt at a batch item received `events` events in `took_ms`
    /// milliseconds.
    pub fn record_item_attempt(&mut self, events: usize, took_ms: f64) {
        if events < MIN_MEASURED_EVENTS {
            return;
        }
        let sample_ms = took_ms / events as f64;
        if self.event_ms == 0.0 {
            self.event_ms = sample_ms;
        }
        self.event_ms += (sample_ms - self.event_ms) * WEIGHT;
    }

    /// Records the number of events of a complete batch item of `tokens` tokens.
    pub fn record_item_size(&mut self, events: usize, tokens: u64) {
        if events == 0 || tokens == 0 {
            return;
        }
        let sample = tokens as f64 / events as f64;
        if self.event_tokens.is_infinite() {
            self.event_tokens = sample;
        }
        self.event_tokens += (sample - self.event_tokens) * WEIGHT;
    }
}
