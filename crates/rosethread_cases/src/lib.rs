//! What the tests of several crates share: named cases, and state machines without order.
//!
//! One function checks, and each case is a test with a name of its own, so that a failure says
//! which case it was. All other crates use this in their tests only.

mod stateless;

pub use stateless::{StatelessReference, StepStrategy};

/// Declares one test for each named case; every case calls the given function with its arguments.
///
/// ```
/// fn check_sum(left: u32, right: u32, sum: u32) {
///     assert_eq!(left + right, sum);
/// }
///
/// rosethread_cases::cases!(check_sum {
///     zero: (0, 0, 0);
///     small: (1, 2, 3);
/// });
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path { $($name:ident: ($($argument:expr),* $(,)?);)* }) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),*);
            }
        )*
    };
}
