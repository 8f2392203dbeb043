//! Logins: who an operator is, for as long as the console runs.

use std::{collections::BTreeMap, sync::Mutex};

use rosethread_config::hash_key;
use subtle::ConstantTimeEq;

use crate::settings::Operator;

/// The cookie's name.
const COOKIE: &str = "session";

/// The operators who are logged in, by the hash of their session's secret.
#[derive(Default)]
pub(crate) struct Sessions {
    operators: Mutex<BTreeMap<String, String>>,
}

impl Sessions {
    /// Checks a password and returns the cookie to set.
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
        let mut sessions = self.operators.lock().expect("no holder of the sessions panics");
        sessions.insert(hash_key(&secret), operator.name.clone());
        // Other sites cannot send the cookie, so they cannot submit a form for the operator.
        Some(format!("{COOKIE}={secret}; HttpOnly; SameSite=Strict; Path=/"))
    }

    /// Returns the operator to whom a request's cookies belong.
    pub(crate) fn operator(&self, cookies: &str) -> Option<String> {
        let secret = cookies.split("; ").find_map(|it| it.strip_prefix("session="))?;
        let sessions = self.operators.lock().expect("no holder of the sessions panics");
        sessions.get(&hash_key(secret)).cloned()
    }
}
