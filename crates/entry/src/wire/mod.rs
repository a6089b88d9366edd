//! JSON bodies that callers and operators see.

mod answer;
mod refusal;

pub(crate) use self::{
    answer::AnswerBody,
    refusal::{RefusalBody, http_status},
};
