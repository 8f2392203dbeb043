//! State machine tests whose steps may come in any order.

use std::{fmt::Debug, marker::PhantomData};

use proptest::prelude::{BoxedStrategy, Just, Strategy};
use proptest_state_machine::ReferenceStateMachine;

/// Generates the steps of a state machine test; the system under test holds all state.
pub trait StepStrategy {
    /// One step of the test.
    type Step: Clone + Debug;

    /// Returns the proptest strategy that generates one step.
    fn step_strategy() -> BoxedStrategy<Self::Step>;
}

/// A reference state machine without state: every step of `S` is valid at any time.
#[derive(Clone, Debug)]
pub struct StatelessReference<S>(PhantomData<S>);

impl<S> ReferenceStateMachine for StatelessReference<S>
where
    S: StepStrategy + 'static,
{
    type State = ();
    type Transition = S::Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<S::Step> {
        S::step_strategy()
    }

    fn apply(_state: (), _step: &S::Step) {}
}
