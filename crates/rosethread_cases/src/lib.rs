//! Test helpers of all crates: table-driven tests, and state machine tests without a model.
//!
//! [`cases!`] calls one check function for a table of cases. Each case is a test with its own name,
//! so that a failure names the case. Other crates use this crate as a dev-dependency only.

mod stateless;

pub use stateless::{StatelessReference, StepStrategy};

/// Declares one test for each named case, which calls the given function with its arguments.
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
