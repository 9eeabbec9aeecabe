//! A process's own settings, read from INI text.
//!
//! Every key stands in one table per kind of process, with its default, unit and meaning. The
//! reader, the checks, [`EntrySettings::print_settings`] and the page docs/SETTINGS.md all follow
//! that table, so a key can neither be forgotten nor described in two ways.

mod accepts;
mod engine_settings;
mod entry_keys;
mod entry_settings;
mod key_spec;
mod ledger_settings;
mod limit_settings;
mod queue_settings;
mod retry_settings;
mod settings_error;
mod settings_text;
mod sidecar_keys;
mod sidecar_settings;
mod tree_settings;

#[doc(inline)]
pub use accepts::Accepts;
#[doc(inline)]
pub use engine_settings::EngineSettings;
#[doc(inline)]
pub use entry_keys::ENTRY_KEYS;
#[doc(inline)]
pub use entry_settings::EntrySettings;
#[doc(inline)]
pub use key_spec::{KeyDefault, KeySpec};
#[doc(inline)]
pub use ledger_settings::LedgerSettings;
#[doc(inline)]
pub use limit_settings::LimitSettings;
#[doc(inline)]
pub use queue_settings::QueueSettings;
#[doc(inline)]
pub use retry_settings::RetrySettings;
#[doc(inline)]
pub use settings_error::SettingsError;
#[doc(inline)]
pub use sidecar_keys::SIDECAR_KEYS;
#[doc(inline)]
pub use sidecar_settings::SidecarSettings;
#[doc(inline)]
pub use tree_settings::TreeSettings;

use settings_text::SettingsText;
