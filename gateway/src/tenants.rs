//! Users of the MySQL front end and their tenants. The look-up stands apart from protocols and decisions, so that a
//! directory service can take its place.

use std::collections::BTreeMap;
use std::rc::Rc;

/// A user's account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The name of its tenant, as in the settings.
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
    /// A directory of these users and accounts.
    pub fn new(accounts: impl IntoIterator<Item = (String, Account)>) -> Self {
        Self { accounts: accounts.into_iter().collect() }
    }

    /// The tenants of all users.
    pub fn tenants(&self) -> impl Iterator<Item = &str> {
        self.accounts.values().map(|account| &*account.tenant)
    }

    /// Finds a user's account.
    pub fn look_up(&self, user: &str) -> Option<&Account> {
        self.accounts.get(user)
    }
}
