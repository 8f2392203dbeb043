//! Login sessions of operators, which last until the console stops.

use std::{collections::BTreeMap, sync::Mutex};

use rosethread_config::hash_key;
use subtle::ConstantTimeEq;

use crate::settings::Operator;

/// The name of the session cookie.
const COOKIE: &str = "session";

/// The logged-in operators, by the hash of their session secret.
#[derive(Default)]
pub(crate) struct Sessions {
    operators: Mutex<BTreeMap<String, String>>,
}

impl Sessions {
    /// Checks a password, and starts a session and returns its cookie if it is right.
    pub(crate) fn login(
        &self,
        operators: &[Operator],
        name: &str,
        password: &str,
    ) -> Option<String> {
        let hash = hash_key(password);
        let is_right = |it: &&Operator| {
            it.name == name && bool::from(it.password.as_bytes().ct_eq(hash.as_bytes()))
        };
        let operator = operators.iter().find(is_right)?;
        let secret = format!("{:032x}", rand::random::<u128>());
        let mut sessions = self.operators.lock().expect("the sessions lock is never poisoned");
        sessions.insert(hash_key(&secret), operator.name.clone());
        // SameSite=Strict keeps other sites from submitting forms in the operator's name (CSRF).
        Some(format!("{COOKIE}={secret}; HttpOnly; SameSite=Strict; Path=/"))
    }

    /// Returns the operator whose session a request's cookies name.
    pub(crate) fn operator(&self, cookies: &str) -> Option<String> {
        let secret = cookies.split("; ").find_map(|it| it.strip_prefix("session="))?;
        let sessions = self.operators.lock().expect("the sessions lock is never poisoned");
        sessions.get(&hash_key(secret)).cloned()
    }
}
