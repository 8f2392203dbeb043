//! Creates programs.

use std::{sync::Arc, time::Duration};

use rosethread_config::{Class, Document, Target};
use rosethread_membership::target_owner;
use rosethread_program::{Budget, BudgetError, Grant, Program};
use rosethread_types::{ProgramId, Reason, Refusal};
use slog::debug;

use crate::{
    call::{Create, Created},
    core::{Core, Phase},
    owner::{OwnedProgram, OwnedState, Ownership, journalling, place},
    peers::{PeerReply, PeerRequest},
};

/// Retry delay sent to callers if the node is full or leaving.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The partition of all programs; only the large deployment size uses more than one.
const DEFAULT_PARTITION: u16 = 0;

/// Creates a program at the node that owns the engine on which it is expected to run.
///
/// A sub-agent is created at the owner of its parent, since its budget is held there.
pub(crate) async fn create(core: &Arc<Core>, create: Create) -> Result<Created, Refusal> {
    let active_document = core.document()?;
    let document = &active_document.document;
    let Some(class) = document.class(&create.class) else {
        let detail = format!("class: no class {} in the document", create.class);
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    };
    if let Some(parent) = &create.parent {
        return create_child(core, class, &create, parent).await;
    }
    let target = place::choose_home(core, document, &create)?;
    if let Some(created) = forward(core, &create, &target).await {
        return created;
    }
    create_local(core, class, &create, None)
}

/// Forwards the request to the owner of `target`.
///
/// Returns `None` if the program has to be created here: the request has been forwarded already,
/// this node is the owner, or the owner gave no usable reply.
async fn forward(
    core: &Arc<Core>,
    create: &Create,
    target: &Target,
) -> Option<Result<Created, Refusal>> {
    if create.is_forwarded {
        return None;
    }
    let view = core.view();
    let owner = target_owner(&view, target.name.as_str(), &target.zone)?;
    if owner == *core.node_name() {
        return None;
    }
    let contact = view.get(&owner)?.contact.clone();
    let mut request = create.clone();
    request.is_forwarded = true;
    match core.peers.request(&contact, PeerRequest::Create(request)).await {
        Ok(PeerReply::Created(created)) => Some(Ok(created)),
        Ok(PeerReply::Refused(refusal)) => Some(Err(refusal)),
        // If the other node did create a program, it is closed as idle.
        Ok(_) | Err(_) => None,
    }
}

fn create_local(
    core: &Arc<Core>,
    class: &Class,
    create: &Create,
    parent: Option<&ProgramId>,
) -> Result<Created, Refusal> {
    if core.phase() != Phase::Serving {
        let refusal = Refusal::not_run(Reason::Leaving, "the node accepts no new programs");
        return Err(refusal.retry_after(RETRY_AFTER));
    }
    if core.settings.limits.programs <= core.owned_count() {
        let refusal =
            Refusal::not_run(Reason::Overloaded, "the node has reached its limit of programs");
        return Err(refusal.retry_after(RETRY_AFTER));
    }
    let id = ProgramId {
        member: create.member.clone(),
        partition: DEFAULT_PARTITION,
        random: core.random.next_u128(),
    };
    let grant = Grant {
        program: id.clone(),
        class: create.class.clone(),
        model: create.model.clone(),
        budget: budget(class, create),
        parent: parent.cloned(),
        created_ms: core.clock.now_ms(),
    };
    let owned = OwnedProgram::new(id.clone(), Program::new(grant), Ownership::Pending);
    core.insert_owned(owned.clone());
    journalling::claim_detached(core, &owned);
    core.metrics.programs_created.inc();
    debug!(core.logger, "owner: created program {}", id);
    let continuation = owned.lock().continuation(core);
    Ok(Created { program: id, continuation })
}

/// Creates a sub-agent, after its whole budget has been held in its parent's account.
async fn create_child(
    core: &Arc<Core>,
    class: &Class,
    create: &Create,
    parent: &ProgramId,
) -> Result<Created, Refusal> {
    if parent.member != create.member {
        let detail = "parent: the program belongs to another member";
        return Err(Refusal::not_run(Reason::Forbidden, detail));
    }
    let Some(owned) = core.owned(parent) else {
        return Err(Refusal::not_run(Reason::NotOwner, "the parent is owned by another node"));
    };
    let budget = budget(class, create);
    hold_for_child(core, &owned, budget.tokens).await?;
    match create_local(core, class, create, Some(parent)) {
        Ok(created) => {
            owned.lock().children.insert(created.program.clone(), budget.tokens);
            Ok(created)
        }
        Err(refusal) => {
            owned.lock().program.account.settle(budget.tokens, 0);
            Err(refusal)
        }
    }
}

/// Holds a sub-agent's budget in its parent's account, extending the journalled limit as needed.
async fn hold_for_child(
    core: &Arc<Core>,
    owned: &Arc<OwnedProgram>,
    tokens: u64,
) -> Result<(), Refusal> {
    loop {
        let limit = match hold_tokens(&mut owned.lock(), tokens)? {
            None => return Ok(()),
            Some(limit) => limit,
        };
        super::serve::extend_limit(core, owned, limit).await?;
    }
}

/// Holds tokens in the parent's account, or returns the limit that has to be journalled first.
fn hold_tokens(state: &mut OwnedState, tokens: u64) -> Result<Option<u64>, Refusal> {
    if state.program.has_ended() {
        return Err(Refusal::not_run(Reason::ProgramEnded, "the parent has ended"));
    }
    match state.program.account.hold(tokens) {
        Ok(()) => Ok(None),
        Err(BudgetError::LimitNotJournalled { limit }) => Ok(Some(limit)),
        Err(it) => Err(Refusal::not_run(Reason::BudgetSpent, format!("parent: {it}"))),
    }
}

/// Returns the budget of the class, reduced to what the request asks for.
fn budget(class: &Class, create: &Create) -> Budget {
    let granted = class_budget(class);
    granted.capped_by(Budget {
        tokens: create.tokens.unwrap_or(granted.tokens),
        calls: create.calls.unwrap_or(granted.calls),
        wall: create.wall_ms.map_or(granted.wall, Duration::from_millis),
        block: granted.block,
    })
}

fn class_budget(class: &Class) -> Budget {
    Budget {
        tokens: class.tokens,
        calls: class.calls,
        wall: Duration::from_secs(class.wall_s),
        block: class.block,
    }
}

/// Returns the class of a program, or a refusal if the document no longer has it.
pub(super) fn class_of<'a>(document: &'a Document, grant: &Grant) -> Result<&'a Class, Refusal> {
    document.class(&grant.class).ok_or_else(|| {
        let detail = format!("class {} is no longer in the document", grant.class);
        Refusal::not_run(Reason::NoTarget, detail)
    })
}
