//! Compares the journal's index with a test oracle made of plain maps.
//!
//! Nodes write under current or outdated epochs, claims race, and appends are repeated.

use std::{collections::BTreeMap, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rosethread_cases::{StatelessReference, StepStrategy};
use rosethread_journal::{Batch, JournalIndex, Record, Verdict};
use rosethread_program::{Budget, Event, Grant};
use rosethread_types::{Epoch, Incarnation, NodeName, ProgramId};

fn program(index: u8) -> ProgramId {
    format!("lyra.0.{index:032x}").parse().unwrap()
}

fn grant(index: u8) -> Grant {
    Grant {
        program: program(index),
        class: "long".parse().unwrap(),
        model: "m".parse().unwrap(),
        budget: Budget { tokens: 900, calls: 9, wall: Duration::from_secs(60), block: 90 },
        parent: None,
        created_ms: 0,
    }
}

fn node(index: u8) -> NodeName {
    format!("node-{index}").parse().unwrap()
}

/// One write by a node to a program, under the epoch that the node believes to be current.
#[derive(Clone, Copy, Debug)]
struct Write {
    node: u8,
    program: u8,
    is_claim: bool,
    /// How many claims the writer has not seen yet.
    behind: usize,
    /// Whether the append is repeated after its acknowledgement was lost.
    is_repeated: bool,
}

impl StepStrategy for IndexTest {
    type Step = Write;

    fn step_strategy() -> BoxedStrategy<Write> {
        let write = (0_u8..3, 0_u8..2, any::<bool>(), 0_usize..3, any::<bool>());
        let write = write.prop_map(|(node, program, is_claim, behind, is_repeated)| Write {
            node,
            program,
            is_claim,
            behind,
            is_repeated,
        });
        write.boxed()
    }
}

/// The expected owners, and the numbering of batches.
#[derive(Default)]
struct Oracle {
    /// The accepted claims of each program, in order: epoch and owner.
    owners: BTreeMap<u8, Vec<(Epoch, u8)>>,
    /// The number of each node's last batch.
    batch_numbers: BTreeMap<u8, u64>,
}

impl Oracle {
    fn believed_epoch(&self, write: Write) -> Epoch {
        let owners = self.owners.get(&write.program).map(Vec::as_slice).unwrap_or_default();
        let index = owners.len().checked_sub(write.behind + 1);
        index.map_or(Epoch::UNCLAIMED, |it| owners[it].0)
    }

    fn current(&self, program: u8) -> Option<(Epoch, u8)> {
        self.owners.get(&program).and_then(|it| it.last()).copied()
    }

    fn batch(&mut self, write: Write) -> Batch {
        let number = self.batch_numbers.entry(write.node).or_default();
        *number += 1;
        let number = *number;
        let event = if write.is_claim {
            Event::Claimed(grant(write.program))
        } else {
            Event::Reserved(number)
        };
        let epoch = self.believed_epoch(write);
        let record = Record::Program { program: program(write.program), epoch, event };
        Batch {
            node: node(write.node),
            incarnation: Incarnation(1),
            number,
            written_ms: number,
            records: vec![record],
        }
    }

    /// Returns whether the write should be accepted, and records an accepted claim.
    fn expect(&mut self, write: Write, believed_epoch: Epoch, epoch: Epoch) -> bool {
        let current = self.current(write.program);
        let current_epoch = current.map_or(Epoch::UNCLAIMED, |it| it.0);
        if write.is_claim {
            // The first record about a program is accepted whatever epoch it replaces.
            let accepted = current.is_none() || believed_epoch == current_epoch;
            if accepted {
                self.owners.entry(write.program).or_default().push((epoch, write.node));
            }
            return accepted;
        }
        match current {
            Some((epoch, owner)) => believed_epoch == epoch && owner == write.node,
            None => true,
        }
    }
}

/// The index under test and its oracle.
#[derive(Default)]
struct IndexTest {
    oracle: Oracle,
    index: JournalIndex,
    offset: u64,
}

impl IndexTest {
    fn apply_write(&mut self, write: Write) {
        let believed_epoch = self.oracle.believed_epoch(write);
        let batch = self.oracle.batch(write);
        let verdicts = self.index.apply(self.offset, &batch).expect("the batch is new");
        let epoch = Epoch::of_claim(rosethread_types::Position::new(self.offset, 0));
        let accepted = self.oracle.expect(write, believed_epoch, epoch);
        assert_eq!(matches!(verdicts[0], Verdict::Accepted(_)), accepted);
        self.offset += 1;
        if write.is_repeated {
            assert_eq!(
                self.index.apply(self.offset, &batch),
                None,
                "a repeated append was applied twice"
            );
            self.offset += 1;
        }
    }
}

impl StateMachineTest for IndexTest {
    type SystemUnderTest = IndexTest;
    type Reference = StatelessReference<IndexTest>;

    fn init_test(_state: &()) -> IndexTest {
        let mut test = IndexTest::default();
        // Every program starts with a claim, as on a real node.
        for program in [0, 1] {
            test.apply_write(Write {
                node: 0,
                program,
                is_claim: true,
                behind: 0,
                is_repeated: false,
            });
        }
        test
    }

    fn apply(mut test: IndexTest, _state: &(), write: Write) -> IndexTest {
        test.apply_write(write);
        test
    }

    fn check_invariants(test: &IndexTest, _state: &()) {
        for index in [0, 1] {
            let entry = test.index.program(&program(index)).expect("the program is known");
            let (epoch, owner) = test.oracle.current(index).expect("the program is claimed");
            assert_eq!((entry.epoch, &entry.owner), (epoch, &node(owner)));
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn agrees_with_the_oracle(sequential 1..60 => IndexTest);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = Batch::decode(&bytes);
    }

    #[test]
    fn batches_survive_their_encoding(number in any::<u64>()) {
        let write = Write {
            node: 1, program: 1, is_claim: true, behind: 0, is_repeated: false,
        };
        let batch = Batch { number, ..Oracle::default().batch(write) };
        prop_assert_eq!(Batch::decode(&batch.encode()), Some(batch));
    }
}
