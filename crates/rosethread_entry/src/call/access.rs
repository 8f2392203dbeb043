//! Identifies the organisation of a call, and scopes the identifiers that the call names to it.
//!
//! Everything behind this step knows a call's program, its earlier turns and the turn itself by scoped
//! identifiers, so that no other step has to keep organisations apart. See
//! `docs/design/organisations.md`.

use std::{str::FromStr, time::Duration};

use rosethread_types::{NameError, Reason, Refusal};

use crate::{
    call::Call,
    entry::Entry,
    organisations::{Identity, NoOrganisation, SCOPE_SEPARATOR},
    routes::{Route, Routes},
};

/// Retry delay sent to callers whose key another host may know.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(100);

/// Identifies on whose behalf a call is made, or refuses it. A call without a route is left as it is.
pub(super) fn identify_caller(
    entry: &Entry,
    routes: &Routes,
    call: &mut Call,
) -> Result<(), Refusal> {
    let path = call.path.split('?').next().unwrap_or_default();
    let (Some(organisations), Some(route)) = (&routes.organisations, routes.find(&call.host, path))
    else {
        return Ok(());
    };
    let identified = organisations.identify(call.credential, route.is_public);
    let label = identified.as_ref().map_or_else(|it| it.label(), |_| "known");
    entry.metrics.credentials.with_label_values(&[label]).inc();
    let identity = identified.map_err(|it| refuse(entry, it))?;
    call.scope_ids(identity).map_err(|it| Refusal::not_run(Reason::BadRequest, it.to_string()))
}

/// Builds the refusal of a call whose organisation is not known. Where this host may have missed a change
/// of the keys, another one has to decide.
fn refuse(entry: &Entry, error: NoOrganisation) -> Refusal {
    if error == NoOrganisation::Unknown && entry.is_isolated() {
        let detail = "the key is not known here, and this host may not know all keys";
        return Refusal::not_run(Reason::NoDocument, detail).retry_after(OTHER_HOST_RETRY);
    }
    Refusal::not_run(Reason::Unauthorized, error.to_string())
}

impl Call {
    /// Sets on whose behalf the call is made, and scopes its identifiers accordingly.
    fn scope_ids(&mut self, identity: Identity) -> Result<(), NameError> {
        fn scope<T>(identity: &Identity, text: &str) -> Result<T, NameError>
        where
            T: FromStr<Err = NameError>,
        {
            identity.scope(text).parse()
        }
        if let Some(context) = &mut self.program {
            context.program = scope(&identity, context.program.as_str())?;
        }
        // A name with a separator may be the scoped identifier of another organisation's turn.
        let previous = self.previous.as_ref();
        self.previous_unscoped =
            previous.filter(|it| !it.as_str().contains(SCOPE_SEPARATOR)).cloned();
        for id in self.previous.iter_mut().chain(&mut self.resumes) {
            *id = scope(&identity, id.as_str())?;
        }
        self.turn = scope(&identity, self.id.as_str())?;
        self.identity = identity;
        Ok(())
    }

    /// Returns the call's priority: that of its organisation, or else that of its route.
    pub(crate) fn priority(&self, route: &Route) -> u8 {
        let organisation = self.identity.organisation();
        organisation.and_then(|it| it.priority).unwrap_or(route.priority)
    }
}
