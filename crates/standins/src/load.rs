//! Load generation and measurement; every answer is checked.

pub mod capacity;
pub mod demo_tree;
pub mod measure;
pub mod run;

mod caller;
mod caller_answer;
mod load_report;

#[doc(inline)]
pub use caller::Caller;
#[doc(inline)]
pub use caller_answer::CallerAnswer;
#[doc(inline)]
pub use load_report::{LoadDetails, LoadReport};
