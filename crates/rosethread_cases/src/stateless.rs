//! State machines whose steps may come in any order.

use std::{fmt::Debug, marker::PhantomData};

use proptest::prelude::{BoxedStrategy, Just, Strategy};
use proptest_state_machine::ReferenceStateMachine;

/// The steps of a system that holds all state itself.
pub trait StepStrategy {
    /// What can happen.
    type Step: Clone + Debug;

    /// Returns what draws one step.
    fn step_strategy() -> BoxedStrategy<Self::Step>;
}

/// The reference of a state machine that needs no state to generate steps.
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
