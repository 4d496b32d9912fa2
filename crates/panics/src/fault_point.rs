//! Places where a test makes the program panic. Only builds with the feature `fault-points` have them: those of tests.

/// Panics if a test wants it at this place. Nothing in other builds.
#[cfg(not(feature = "fault-points"))]
#[inline]
pub fn reach(_place: &'static str) {}

#[cfg(feature = "fault-points")]
thread_local! {
    static ARMED: std::cell::Cell<Option<&'static str>> = const { std::cell::Cell::new(None) };
}

/// Panics if a test wants it at this place.
///
/// # Panics
/// If the place is armed.
#[cfg(feature = "fault-points")]
pub fn reach(place: &'static str) {
    if ARMED.get() == Some(place) {
        ARMED.set(None);
        std::panic::panic_any(WantedPanic);
    }
}

/// The payload of a panic that a test wants.
#[cfg(feature = "fault-points")]
struct WantedPanic;

/// The next time that this thread reaches the place, it panics, once.
#[cfg(feature = "fault-points")]
pub fn arm(place: &'static str) {
    ARMED.set(Some(place));
}

/// Whether no panic is due any more.
#[cfg(feature = "fault-points")]
pub fn was_reached() -> bool {
    ARMED.get().is_none()
}

/// Panics that a test wants are not printed from now on.
#[cfg(feature = "fault-points")]
pub fn quiet() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let print = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            if !info.payload().is::<WantedPanic>() {
                print(info);
            }
        }));
    });
}
