//! Commands for the member register and for one member's own routes.
//!
//! [`run_register`] and [`run_member`] run the commands; [`MemberKey`] is a member's key read from a file.
//!
//! Invariants: a key is never printed, and is sent only if it is valid in a header. `member.undo` is not idempotent, so
//! it is not sent to another replica once one may have applied it.
//!
//! Responses are JSON with the fields below, except for `member.read`, which returns the document as it was sent.
//! Editions are strings such as `r7`, or null:
//!
//! | call | fields |
//! | --- | --- |
//! | `member.plan` | `changes`, `forbidden`, `trims`: lists of lines |
//! | `member.replace`, `undo`, `settle`, `withdraw` | `member`, `edition`, `state`: `trial`, `settled` or `withdrawn` |
//! | `member.status` | `member`; `settled`, `trial`, `withdrawn`; `trims`: lines; `nodes`, `next` |
//! | each entry of `nodes` | `door`, `edition`, `trial`, `quiet` |
//! | `member.history` | `versions`, as in `timetable.history` |

use std::path::Path;
use std::process::ExitCode;

use ochreshed_catalog::configuration::{Refusal, differences_by_location};
use ochreshed_catalog::members::{self, MemberDocument, MemberRegister};

use super::call::{CallHeader, OperatorClient, RenderFn, ReplicaCall, ReplicaResponse, parse_json};
use super::documents::{self, Document, ReplaceableDocument};
use super::error::{ClientError, MemberKeyProblem};
use super::formatting::percent_encode;
use super::member_rendering::{render_change, render_plan, render_status};
use super::tables::list_rows;
use super::{history, print_page};
use crate::mesh::command_line::{MemberCommand, MemberRegisterCommand};

/// The header that carries a member's key.
const KEY_HEADER: &str = "Ochreshed-Member-Key";
const MAX_KEY_BYTES: usize = 1_024;

impl Document for MemberRegister {
    const NAME: &'static str = "register";

    fn parse(bytes: &[u8]) -> Result<Self, Vec<Refusal>> {
        MemberRegister::read(bytes)
    }

    fn document_version(&self) -> u64 {
        self.version
    }

    fn differences_to(&self, new: &Self) -> Vec<String> {
        members::differences(self, new)
    }
}

impl ReplaceableDocument for MemberRegister {
    const READ_CALL: &'static str = "members.read";
    const REPLACE_CALL: &'static str = "members.replace";

    fn contents(&self) -> String {
        format!("{} members", self.members().count())
    }
}

impl Document for MemberDocument {
    const NAME: &'static str = "document";

    fn parse(bytes: &[u8]) -> Result<Self, Vec<Refusal>> {
        MemberDocument::read(bytes)
    }

    fn document_version(&self) -> u64 {
        self.version
    }

    fn differences_to(&self, new: &Self) -> Vec<String> {
        let mut lines = Vec::new();
        let (before, after) = (format_canary_share(self), format_canary_share(new));
        if before != after {
            lines.push(format!("trial from {before} to {after}"));
        }
        lines.extend(differences_by_location(self.routes.iter(), new.routes.iter()));
        lines
    }
}

fn format_canary_share(document: &MemberDocument) -> String {
    document.canary_share.map_or("none".to_owned(), |share| share.to_string())
}

/// A member's key, without surrounding white space.
pub struct MemberKey(String);

impl MemberKey {
    fn read(file: &Path) -> Result<MemberKey, ClientError> {
        let bytes = documents::read_file(file)?;
        let invalid = |problem| ClientError::InvalidMemberKey { path: file.to_owned(), problem };
        let key = std::str::from_utf8(bytes.trim_ascii());
        let key = key.map_err(|_| invalid(MemberKeyProblem::Malformed))?;
        if key.is_empty() {
            return Err(invalid(MemberKeyProblem::Missing));
        }
        if key.len() > MAX_KEY_BYTES || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(invalid(MemberKeyProblem::Malformed));
        }
        Ok(MemberKey(key.to_owned()))
    }

    /// Returns the header that carries the key.
    fn header(&self) -> CallHeader<'_> {
        CallHeader { name: KEY_HEADER, value: &self.0 }
    }
}

/// Runs a command on the member register.
pub fn run_register(
    client: &OperatorClient,
    command: MemberRegisterCommand,
) -> Result<ExitCode, ClientError> {
    let page = match command {
        MemberRegisterCommand::Read => documents::fetch_document::<MemberRegister>(client)?,
        MemberRegisterCommand::Replace(file) => documents::replace_document::<MemberRegister>(client, &file)?,
        MemberRegisterCommand::Diff(file) => documents::diff_document::<MemberRegister>(client, &file)?,
    };
    print_page(&page)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a command on one member's own routes.
pub fn run_member(
    client: OperatorClient,
    name: &str,
    command: MemberCommand,
    key_file: Option<&Path>,
) -> Result<ExitCode, ClientError> {
    let key = key_file.map(MemberKey::read).transpose()?;
    let member = MemberClient { client, name, key };
    let page = match command {
        MemberCommand::Read => member.call(MemberCall::Read, &[])?.into_text()?,
        MemberCommand::Plan(file) => return member.print_plan(&file),
        MemberCommand::Replace(file) => member.replace(&file)?,
        MemberCommand::Diff(file) => {
            let fetch = || member.call(MemberCall::Read, &[]);
            documents::diff_document_with::<MemberDocument>(client.json, &file, fetch)?
        }
        MemberCommand::Status => member.fetch_page(MemberCall::Status, render_status)?,
        MemberCommand::History => member.fetch_page(MemberCall::History, history::render_history)?,
        MemberCommand::RestorePrevious => member.change(MemberCall::RestorePrevious, &[])?,
        MemberCommand::PromoteCanary => member.change(MemberCall::PromoteCanary, &[])?,
        MemberCommand::WithdrawCanary => member.change(MemberCall::WithdrawCanary, &[])?,
    };
    print_page(&page)?;
    Ok(ExitCode::SUCCESS)
}

/// The calls on one member's own routes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MemberCall {
    Read,
    Plan,
    Replace,
    Status,
    History,
    RestorePrevious,
    PromoteCanary,
    WithdrawCanary,
}

impl MemberCall {
    fn name(self) -> &'static str {
        match self {
            MemberCall::Read => "member.read",
            MemberCall::Plan => "member.plan",
            MemberCall::Replace => "member.replace",
            MemberCall::Status => "member.status",
            MemberCall::History => "member.history",
            MemberCall::RestorePrevious => "member.undo",
            MemberCall::PromoteCanary => "member.settle",
            MemberCall::WithdrawCanary => "member.withdraw",
        }
    }
}

/// The client for one member.
struct MemberClient<'c> {
    client: OperatorClient<'c>,
    name: &'c str,
    key: Option<MemberKey>,
}

impl MemberClient<'_> {
    fn call(&self, call: MemberCall, body: &[u8]) -> Result<ReplicaResponse, ClientError> {
        let name = self.call_name(call);
        let header = self.key.as_ref().map(MemberKey::header);
        Ok(self.client.call(ReplicaCall { name: &name, body, header, idempotent: true })?)
    }

    fn call_name(&self, call: MemberCall) -> String {
        format!("{}&of={}", call.name(), percent_encode(self.name))
    }

    fn fetch_page(&self, call: MemberCall, render: RenderFn) -> Result<String, ClientError> {
        self.client.render(self.call(call, &[])?.into_text()?, render)
    }

    /// Sends a change and returns the rendered outcome.
    fn change(&self, call: MemberCall, body: &[u8]) -> Result<String, ClientError> {
        let name = self.call_name(call);
        let header = self.key.as_ref().map(MemberKey::header);
        let idempotent = call != MemberCall::RestorePrevious;
        let call = ReplicaCall { name: &name, body, header, idempotent };
        let response = self.client.send_change(call)?.into_text()?;
        self.client.render(response, render_change)
    }

    fn replace(&self, file: &Path) -> Result<String, ClientError> {
        let sent = documents::read_file(file)?;
        documents::parse_file::<MemberDocument>(file, &sent)?;
        self.change(MemberCall::Replace, &sent)
    }

    /// Prints what a document would change. The exit code is a failure if the document would be rejected.
    fn print_plan(&self, file: &Path) -> Result<ExitCode, ClientError> {
        let sent = documents::read_file(file)?;
        documents::parse_file::<MemberDocument>(file, &sent)?;
        let response = self.call(MemberCall::Plan, &sent)?.into_text()?;
        let forbidden = !list_rows(&parse_json(&response)?, "forbidden").is_empty();
        print_page(&self.client.render(response, render_plan)?)?;
        Ok(if forbidden { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}
