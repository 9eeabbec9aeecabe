//! The command line tool of operators, `amaranthctl`.
//!
//! An edit is validated against the tree just fetched and then sent with that tree's version, so
//! that an entry refuses it if another edit was made in between.

mod arguments;
mod command;
mod config_check;
mod ctl_error;
mod edit_commands;
mod entry_address;
mod entry_client;
mod exit_status;
mod explain_call;
mod gateway_address;
mod gateway_client;
mod gateway_commands;
mod gateway_render;
mod http_address;
mod program;
mod render;
mod submit;

#[doc(inline)]
pub use command::command;
#[doc(inline)]
pub use ctl_error::CtlError;
#[doc(inline)]
pub use entry_address::{EntryAddress, InvalidEntryAddress};
#[doc(inline)]
pub use entry_client::EntryClient;
#[doc(inline)]
pub use exit_status::ExitStatus;
#[doc(inline)]
pub use gateway_address::{GatewayAddress, InvalidGatewayAddress};
#[doc(inline)]
pub use gateway_client::GatewayClient;
#[doc(inline)]
pub use program::{run, run_program};
