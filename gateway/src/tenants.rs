//! Users of the MySQL front end and their tenants. The look-up is independent of protocols and decisions, so that a
//! directory service can replace it.

use std::collections::BTreeMap;
use std::rc::Rc;

/// Tenant and password of a user of the MySQL front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the tenant in the settings.
    pub tenant: Rc<str>,
    /// Password in clear text. May be empty.
    pub password: String,
}

/// Accounts by user name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    accounts: BTreeMap<String, Account>,
}

impl Directory {
    /// Creates a directory from pairs of user name and account.
    pub fn new(accounts: impl IntoIterator<Item = (String, Account)>) -> Self {
        Self { accounts: accounts.into_iter().collect() }
    }

    /// Tenant names of all users, with duplicates.
    pub fn tenants(&self) -> impl Iterator<Item = &str> {
        self.accounts.values().map(|account| &*account.tenant)
    }

    /// Account of a user. `None`: the user is unknown.
    pub fn look_up(&self, user: &str) -> Option<&Account> {
        self.accounts.get(user)
    }
}
