//! A process's own settings, read from INI text.
//!
//! One table per kind of process contains every key with its default, unit and meaning. The parser,
//! the checks, [`EntrySettings::print_settings`] and the page docs/SETTINGS.md all follow that
//! table, so that no key is forgotten or described in two ways.

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
mod value_kind;

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
#[doc(inline)]
pub use value_kind::ValueKind;

use settings_text::SettingsText;
