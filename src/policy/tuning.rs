//! Tuning constants of the policy. All other parameters are derived from the settings.
//!
//! Constants that end in `_SECONDS` are durations; those that end in `_FRACTION` are fractions, from 0 to 1,
//! of the quantity that their comment names. Units are quota units.

// Windows of a count.

/// Length of a window, as a multiple of the time in which the rate refills the burst. Short windows are
/// costly, as each new window needs extra calls to the counter.
pub(super) const WINDOW_REFILLS: f64 = 4.0;
/// Shortest window; it must exceed [`LEVEL_REFRESH_SECONDS`].
pub(super) const MIN_WINDOW_SECONDS: f64 = 2.0;
/// Longest window; a count is kept for two windows, which must fit within [`MAX_COUNT_TTL_SECONDS`].
pub(super) const MAX_WINDOW_SECONDS: f64 = 25.0;
/// Time to live of a count, in windows: its own window and the next one, in which it is read as the previous
/// count.
pub(super) const COUNT_TTL_WINDOWS: f64 = 2.2;
/// Longest time to live of a count.
pub(super) const MAX_COUNT_TTL_SECONDS: f64 = 60.0;

// Leases.

/// Seconds of recent demand that a lease covers; a longer span leaves more units unused at idle gateways.
pub(super) const LEASE_DEMAND_SECONDS: f64 = 1.0;
/// Time constant with which the recorded demand of a customer decays.
pub(super) const DEMAND_MEMORY_SECONDS: f64 = 1.0;
/// Age up to which a quota level reported by the counter is used.
pub(super) const LEVEL_REFRESH_SECONDS: f64 = 1.0;
/// Longest wait of a request for a lease, as a fraction of the counter's timeout.
pub(super) const COUNTER_WAIT_FRACTION: f64 = 0.4;
/// Fraction of a customer's gateways that admit a first request although their share is below one request. If
/// all of them did, the customer would get many times its burst.
pub(super) const FRACTIONAL_SHARE_START_FRACTION: f64 = 0.85;
/// Differences of units below this value are treated as rounding errors.
pub(super) const UNIT_TOLERANCE: f64 = 1e-6;

// Settlement of a count's total.

/// Fraction of the burst that may be missing from the count of a new window before the count is corrected.
pub(super) const CARRYOVER_SLACK_FRACTION: f64 = 0.1;
/// Fraction of the burst by which a count may lag behind the expired units, after a window's first call.
pub(super) const EXPIRY_SLACK_FRACTION: f64 = 0.5;
/// Fraction of the burst by which a count must fall within a window to show that the counter lost its data.
pub(super) const COUNT_RESET_FRACTION: f64 = 0.2;
/// Counter timeouts after which any gateway restores a lost count that has not been restored yet.
pub(super) const RESTORE_AFTER_TIMEOUTS: f64 = 2.0;

// Availability of the counter.

/// Consecutive failed calls after which the counter may count as unavailable.
pub(super) const UNAVAILABLE_AFTER_FAILURES: u32 = 3;
/// Counter timeouts that must have passed since the first of those failures.
pub(super) const UNAVAILABLE_AFTER_TIMEOUTS: f64 = 5.0;
/// Time after an outage during which the fallback limits still decide, while all gateways report what they
/// spent.
pub(super) const SETTLING_SECONDS: f64 = 2.0 * LEVEL_REFRESH_SECONDS;

// Pacing of the calls to the counter.

/// Fraction of the counter's timeout above which the latency of a response shows an overloaded counter.
pub(super) const SLOW_CALL_FRACTION: f64 = 0.6;
/// Minimum calls per second; while the counter is unavailable they probe whether it responds again.
pub(super) const MIN_CALL_RATE: f64 = 1.0;
/// Initial calls per second, over all gateways.
pub(super) const INITIAL_FLEET_CALL_RATE: f64 = 200.0;
/// Minimum burst of calls.
pub(super) const MIN_CALL_BURST: f64 = 3.0;
/// Burst of calls, in seconds of the call rate, where that exceeds the minimum.
pub(super) const CALL_BURST_SECONDS: f64 = 0.1;
/// Increase of the call rate after a fast response, as a multiple of the square root of the rate.
pub(super) const CALL_RATE_INCREASE: f64 = 0.25;
/// Factor applied to the call rate after a slow response.
pub(super) const CALL_RATE_SLOW_FACTOR: f64 = 0.8;
/// Factor applied to the call rate after a failed call.
pub(super) const CALL_RATE_FAILURE_FACTOR: f64 = 0.6;
/// Fraction of the call rate before an outage at which calls resume after it.
pub(super) const RESTORED_CALL_RATE_FRACTION: f64 = 0.5;
/// Minimum number of tokens that the bucket must hold for a call, however high the priority of the request.
pub(super) const MIN_CALL_TOKENS: f64 = 0.2;

// Ceilings.

/// Fraction of the headroom between quota and ceiling that gateways may use without consulting the count.
pub(super) const CEILING_HEADROOM_FRACTION: f64 = 0.8;

// Concurrency limit.

/// Fraction of the latency objective that the median latency may reach before the limit is lowered.
pub(super) const LATENCY_TARGET_FRACTION: f64 = 0.08;
/// Fraction of the limit up to which hedged requests and requests beyond the quota are sent.
pub(super) const SPARE_CAPACITY_FRACTION: f64 = 0.5;
/// Maximum ratio of the limit to the recent mean number of attempts in flight.
pub(super) const MAX_LIMIT_GROWTH: f64 = 3.0;
/// Minimum of the limit, in attempts per backend over all gateways, which keeps the cores of a backend busy.
pub(super) const MIN_ATTEMPTS_PER_BACKEND: f64 = 3.0;
/// Headroom of the limit for random arrivals while responses are fast, in standard deviations of the number
/// of attempts in flight.
pub(super) const CONCURRENCY_DEVIATIONS: f64 = 2.0;
/// Weight of a new value in a moving average.
pub(super) const EWMA_GAIN: f64 = 0.15;
/// Weight of a new value, while one attempt is in flight, in the moving averages whose gain decreases with
/// the number of attempts in flight.
pub(super) const IN_FLIGHT_GAIN: f64 = 2.0 * EWMA_GAIN;
/// Fraction of attempts that time out above which timeouts count as slow responses and not as lost ones.
pub(super) const OVERLOAD_TIMEOUT_FRACTION: f64 = 0.5;
/// Lower bound of latencies and latency objectives, which prevents divisions by zero.
pub(super) const MIN_LATENCY_SECONDS: f64 = 1e-3;

// Attempts.

/// Fraction of the latency objective after which a hedged request may be sent.
pub(super) const HEDGE_DELAY_FRACTION: f64 = 0.4;
/// Minimum delay of a hedged request, as a multiple of the mean latency.
pub(super) const HEDGE_DELAY_LATENCIES: f64 = 3.0;
/// Retries and hedged requests allowed per first attempt; low enough not to amplify an overload.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum balance of the retry budget, in retries and hedged requests.
pub(super) const MAX_RETRY_BUDGET: f64 = 10.0;
/// Event intervals that the response to a request takes to reach the client.
pub(super) const RESPONSE_EVENT_INTERVALS: f64 = 2.0;
/// Time that must remain until the deadline of a new request so that it is decided in time, in maximum waits
/// for a lease. [`ADMISSION_EVENT_INTERVALS`] is added to it.
pub(super) const ADMISSION_LEASE_WAITS: f64 = 2.0;
/// Event intervals that must remain in addition.
pub(super) const ADMISSION_EVENT_INTERVALS: f64 = 4.0;

// Slow start.

/// Load that all gateways together plan to send to a backend in slow start, as a fraction of the load that
/// would overload it.
pub(super) const SLOW_START_FRACTION: f64 = 0.4;
/// Burst that a backend in slow start may be sent, as a fraction of the units planned for the time after
/// which an excess load counts as an overload.
pub(super) const SLOW_START_BURST_FRACTION: f64 = 0.5;
/// Time constant with which the rate of units sent decays.
pub(super) const RATE_MEMORY_SECONDS: f64 = 3.0;
/// Time constant with which the peaks of that rate and of the number of running backends decay; covers the
/// duration of a warm-up.
pub(super) const PEAK_MEMORY_SECONDS: f64 = 20.0;

// Backend selection.

/// The score of a backend rises once its mean latency times this factor exceeds the mean of all backends. A
/// backend of average latency thus scores this many times as high as a fast one.
pub(super) const SLOW_BACKEND_FACTOR: f64 = 1.5;
/// Time constant with which the latency observed at a backend loses weight.
pub(super) const OBSERVATION_MEMORY_SECONDS: f64 = 14.0;
/// Minimum number of backends in a gateway's subset.
pub(super) const MIN_SUBSET_SIZE: usize = 6;
/// Number of gateways whose subsets include the same backend, so that its load averages over theirs.
pub(super) const GATEWAYS_PER_BACKEND: usize = 20;
/// Maximum number of backends in a subset; in a larger one a gateway of little traffic observes each backend
/// too rarely. [`MIN_GATEWAYS_PER_BACKEND`] takes precedence.
pub(super) const MAX_SUBSET_SIZE: usize = 32;
/// Minimum number of gateways whose subsets include the same backend.
pub(super) const MIN_GATEWAYS_PER_BACKEND: usize = 5;

// Outlier ejection.

/// Consecutive failures that eject a backend; a refused connection ejects it at once.
pub(super) const EJECT_AFTER_FAILURES: u32 = 3;
/// Fraction of the connect timeout within which a failed connection counts as refused; later failures count
/// as timed out.
pub(super) const REFUSED_CONNECT_FRACTION: f64 = 0.5;
/// Duration of a first ejection.
pub(super) const INITIAL_EJECTION_SECONDS: f64 = 1.0;
/// Factor by which each further ejection is longer than the one before.
pub(super) const EJECTION_GROWTH: f64 = 2.0;
/// Maximum duration of an ejection.
pub(super) const MAX_EJECTION_SECONDS: f64 = 8.0;
/// Fraction of ejected backends at which no further one is ejected: failures at so many have a common cause.
pub(super) const MAX_EJECTED_FRACTION: f64 = 0.5;

// Idle customers.

/// Shortest time between two searches of a full table for customers that can be removed.
pub(super) const CUSTOMER_SWEEP_INTERVAL_SECONDS: f64 = 0.25;
/// Time after which the state of an idle customer is removed; longer than any window.
pub(super) const IDLE_CUSTOMER_SECONDS: f64 = 60.0;
