//! The gateway as a library, which the program `wrenhatch` and the tools of the workspace use.
//!
//! The modules on the path of a request, in order:
//! - [`net`]: event loop, sockets, signals and timers. It calls the other modules, which use no sockets.
//! - [`front`]: PostgreSQL and MySQL protocols for clients.
//! - [`admission`]: validation and admission of requests.
//! - [`crate::core`]: open requests, attempts, order keys, and the workload manager, which makes the decisions.
//! - [`engine`]: HTTP and MySQL protocols for engines.
//!
//! Other modules:
//! - [`mysql_protocol`]: packets and data types that [`front`] and [`engine`] share.
//! - [`config`], [`tenants`]: configuration and users.
//! - [`discovery`]: endpoint list.
//! - [`control_plane`], [`live_reconfiguration`]: new versions of the settings, and their application at run time.
//! - [`process_replacement`]: messages between the process that runs and its successor.
//! - [`admin`], [`counters`], [`timer_lag`]: admin interface, metrics and counters.
//! - [`event_stream`], [`json`]: parsers of server-sent events and JSON documents.

pub mod admin;
pub mod admission;
pub mod config;
pub mod control_plane;
pub mod core;
pub mod counters;
pub mod discovery;
pub mod engine;
pub mod event_stream;
pub mod front;
pub mod json;
pub mod live_reconfiguration;
pub mod mysql_protocol;
pub mod net;
pub mod process_replacement;
pub mod tenants;
pub mod timer_lag;
