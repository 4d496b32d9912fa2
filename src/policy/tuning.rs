//! The constants of the decisions. All other figures are derived from the settings.
//!
//! A name that ends in `_SECONDS` is a span of time, one that ends in `_FRACTION` a part, from 0 to 1, of the
//! quantity that its comment names. Units are quota units.

// Windows of a count.

/// Length of a window, in times that the rate takes to refill the burst; each new window costs extra calls.
pub(super) const WINDOW_REFILLS: f64 = 4.0;
/// Shortest window: longer than [`LEVEL_REFRESH_SECONDS`].
pub(super) const MIN_WINDOW_SECONDS: f64 = 2.0;
/// Longest window: a count's name lives for two windows, within [`MAX_COUNT_TTL_SECONDS`].
pub(super) const MAX_WINDOW_SECONDS: f64 = 25.0;
/// Time to live of a count, in windows: the window itself and the one that reads it as the previous one.
pub(super) const COUNT_TTL_WINDOWS: f64 = 2.2;
/// Longest time to live of a count.
pub(super) const MAX_COUNT_TTL_SECONDS: f64 = 60.0;

// Leases.

/// Seconds of recent demand that a lease covers; a longer span leaves more units unused at idle gateways.
pub(super) const LEASE_DEMAND_SECONDS: f64 = 1.0;
/// Memory of the demand of a customer.
pub(super) const DEMAND_MEMORY_SECONDS: f64 = 1.0;
/// Age up to which a known quota level is relied on.
pub(super) const LEVEL_REFRESH_SECONDS: f64 = 1.0;
/// Fraction of the counter's timeout that a request waits for a lease.
pub(super) const COUNTER_WAIT_FRACTION: f64 = 0.4;
/// Fraction of a customer's gateways at which a share under one request admits a first one: at all of them
/// together the customer would have many times its burst.
pub(super) const FRACTIONAL_SHARE_START_FRACTION: f64 = 0.85;
/// Differences of units below this are rounding errors.
pub(super) const UNIT_TOLERANCE: f64 = 1e-6;

// Settlement of a count's total.

/// Fraction of the burst that may be missing from a new window's count before it is corrected.
pub(super) const CARRYOVER_SLACK_FRACTION: f64 = 0.1;
/// Fraction of the burst by which a count may lag behind what has expired, after a window's first call.
pub(super) const EXPIRY_SLACK_FRACTION: f64 = 0.5;
/// Fraction of the burst by which a count falls within a window when the counter has lost its data.
pub(super) const COUNT_RESET_FRACTION: f64 = 0.2;
/// Counter timeouts after which a lost count that is still not restored is restored by each gateway.
pub(super) const RESTORE_AFTER_TIMEOUTS: f64 = 2.0;

// Availability of the counter.

/// Failed calls in a row from which on the counter may be unavailable ...
pub(super) const UNAVAILABLE_AFTER_FAILURES: u32 = 3;
/// ... if the first of them is this many counter timeouts ago.
pub(super) const UNAVAILABLE_AFTER_TIMEOUTS: f64 = 5.0;
/// Time after an outage in which the fallback limits still decide, while all gateways report what they spent.
pub(super) const SETTLING_SECONDS: f64 = 2.0 * LEVEL_REFRESH_SECONDS;

// Pacing of the calls to the counter.

/// Fraction of the counter's timeout from which on a response shows a crowded counter.
pub(super) const SLOW_CALL_FRACTION: f64 = 0.6;
/// Least calls a second; while the counter is unavailable they show whether it responds again.
pub(super) const MIN_CALL_RATE: f64 = 1.0;
/// Calls a second at the start, over all gateways.
pub(super) const INITIAL_FLEET_CALL_RATE: f64 = 200.0;
/// Calls that may be saved up, at least ...
pub(super) const MIN_CALL_BURST: f64 = 3.0;
/// ... and in seconds of the call rate.
pub(super) const CALL_BURST_SECONDS: f64 = 0.1;
/// Increase of the call rate by a quick response, in square roots of the rate.
pub(super) const CALL_RATE_INCREASE: f64 = 0.25;
/// Factor of the call rate after a slow response.
pub(super) const CALL_RATE_SLOW_FACTOR: f64 = 0.8;
/// Factor of the call rate after a failed call.
pub(super) const CALL_RATE_FAILURE_FACTOR: f64 = 0.6;
/// Fraction of the call rate before an outage at which calls are resumed.
pub(super) const RESTORED_CALL_RATE_FRACTION: f64 = 0.5;
/// Least cost of a call that carries more priority than the mean, in calls.
pub(super) const MIN_CALL_COST: f64 = 0.2;

// Ceilings.

/// Fraction of the headroom between quota and ceiling that gateways may use without the count.
pub(super) const CEILING_HEADROOM_FRACTION: f64 = 0.8;

// Concurrency limit.

/// Fraction of the latency objective that the median latency may reach before the limit falls.
pub(super) const LATENCY_TARGET_FRACTION: f64 = 0.08;
/// Fraction of the limit that hedged requests and requests beyond the quota may fill.
pub(super) const SPARE_CAPACITY_FRACTION: f64 = 0.5;
/// Largest ratio of the limit to the recent number of attempts in flight.
pub(super) const MAX_LIMIT_GROWTH: f64 = 3.0;
/// Attempts for each backend, over all gateways, that the limit never falls below, so that its cores have
/// work.
pub(super) const MIN_ATTEMPTS_PER_BACKEND: f64 = 3.0;
/// Standard deviations of a random number of attempts that the limit leaves room for while responses are
/// fast.
pub(super) const CONCURRENCY_DEVIATIONS: f64 = 2.0;
/// Weight of a new value in a moving average.
pub(super) const EWMA_GAIN: f64 = 0.15;
/// Weight of a new value in the moving averages that span several attempts in flight, with one in flight.
pub(super) const IN_FLIGHT_GAIN: f64 = 2.0 * EWMA_GAIN;
/// Fraction of attempts that time out from which on timeouts count as slow responses and not as lost ones.
pub(super) const OVERLOAD_TIMEOUT_FRACTION: f64 = 0.5;
/// Lower bound of latencies and latency objectives, against divisions by zero.
pub(super) const MIN_LATENCY_SECONDS: f64 = 1e-3;

// Attempts.

/// Fraction of the latency objective after which a hedged request may be sent.
pub(super) const HEDGE_DELAY_FRACTION: f64 = 0.4;
/// Mean latencies after which a hedged request may be sent, at least.
pub(super) const HEDGE_DELAY_LATENCIES: f64 = 3.0;
/// Retries and hedged requests for each first attempt; few enough not to feed an overload.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries and hedged requests that may be saved up.
pub(super) const MAX_RETRY_BUDGET: f64 = 10.0;
/// Event intervals that the response to a request takes to reach the client.
pub(super) const RESPONSE_EVENT_INTERVALS: f64 = 2.0;
/// Waits for a lease that must be left until the deadline of a new request, so that it is decided in time ...
pub(super) const ADMISSION_LEASE_WAITS: f64 = 2.0;
/// ... and event intervals besides.
pub(super) const ADMISSION_EVENT_INTERVALS: f64 = 4.0;

// Slow start.

/// Fraction of the load that would overload a backend in slow start that all gateways together plan to send
/// to it.
pub(super) const SLOW_START_FRACTION: f64 = 0.4;
/// Units that may be saved up for a backend in slow start, as a fraction of those in the time to overload.
pub(super) const SLOW_START_BURST_FRACTION: f64 = 0.5;
/// Memory of the rate of units sent.
pub(super) const RATE_MEMORY_SECONDS: f64 = 3.0;
/// Memory of the peaks of that rate and of the number of running backends: a warm-up.
pub(super) const PEAK_MEMORY_SECONDS: f64 = 20.0;

// Backend selection.

/// A backend's score rises once its mean latency, times this, exceeds the mean of all backends: an average
/// backend scores this many times as high as a fast one.
pub(super) const SLOW_BACKEND_FACTOR: f64 = 1.5;
/// Memory of what attempts have shown of a backend.
pub(super) const OBSERVATION_MEMORY_SECONDS: f64 = 14.0;
/// Least backends in a gateway's subset.
pub(super) const MIN_SUBSET_SIZE: usize = 6;
/// Gateways whose subsets hold the same backend: its load is the mean of theirs.
pub(super) const GATEWAYS_PER_BACKEND: usize = 20;
/// Backends beyond which a gateway of little traffic observes each too rarely ...
pub(super) const MAX_SUBSET_SIZE: usize = 32;
/// ... unless fewer gateways than this would then hold the same backend.
pub(super) const MIN_GATEWAYS_PER_BACKEND: usize = 5;

// Outlier ejection.

/// Failures in a row that eject a backend; a refused connection counts as all of them.
pub(super) const EJECT_AFTER_FAILURES: u32 = 3;
/// Fraction of the connect timeout within which a failed connection was refused; a later one timed out.
pub(super) const REFUSED_CONNECT_FRACTION: f64 = 0.5;
/// Length of a first ejection.
pub(super) const INITIAL_EJECTION_SECONDS: f64 = 1.0;
/// Factor from one ejection to the next.
pub(super) const EJECTION_GROWTH: f64 = 2.0;
/// Longest ejection.
pub(super) const MAX_EJECTION_SECONDS: f64 = 8.0;
/// Fraction of the backends from which on none is ejected: so many failing together have a common cause.
pub(super) const MAX_EJECTED_FRACTION: f64 = 0.5;

// Idle customers.

/// Time after which an idle customer is forgotten; longer than any window.
pub(super) const IDLE_CUSTOMER_SECONDS: f64 = 60.0;
