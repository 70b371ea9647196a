//! Tenant look-up: who a user is, apart from wires and decisions, so that a directory can take its place.

use std::collections::BTreeMap;
use std::rc::Rc;

/// What is known of a user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The tenant it belongs to, named as in the settings.
    pub tenant: Rc<str>,
    /// Its password; may be empty.
    pub password: String,
}

/// Users and their tenants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    accounts: BTreeMap<String, Account>,
}

impl Directory {
    /// A directory of these users.
    pub fn new(accounts: impl IntoIterator<Item = (String, Account)>) -> Self {
        Self { accounts: accounts.into_iter().collect() }
    }

    /// The tenants of all users.
    pub fn tenants(&self) -> impl Iterator<Item = &str> {
        self.accounts.values().map(|account| &*account.tenant)
    }

    /// Finds a user.
    pub fn look_up(&self, user: &str) -> Option<&Account> {
        self.accounts.get(user)
    }
}
