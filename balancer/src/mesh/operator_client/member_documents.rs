//! Members of a platform: their register, and one member's own routes.
//!
//! [`run_register`] and [`run_member`] carry out the commands; [`MemberKey`] is a member's key, as its file holds it.
//!
//! Invariants: a key is never shown, and none is sent that can't stand in a header. An undo is not sent again where one
//! replica may have applied it, because two undos are not one.
//!
//! What replicas answer, in JSON but for `read`, which gives the document as it was sent. Editions are as `r7` or null:
//!
//! | call | fields |
//! | --- | --- |
//! | `member.plan` | `changes`, `forbidden`, `trims`: lists of lines |
//! | `member.replace`, `undo`, `settle`, `withdraw` | `member`, `edition`, `state`: `trial`, `settled` or `withdrawn` |
//! | `member.status` | `member`; `settled`, `trial`, `withdrawn`; `trims`: lines; `nodes`, `next` |
//! | of a node | `door`, `edition`, `trial`, `quiet` |
//! | `member.history` | `versions`, as of `timetable.history` |

use std::path::Path;
use std::process::ExitCode;

use ochreshed_catalog::configuration::{Refusal, differences_by_location};
use ochreshed_catalog::members::{self, MemberDocument, MemberRegister};

use super::call::{CallHeader, OperatorClient, RenderPage, ReplicaCall, ReplicaResponse, parse_json};
use super::documents::{self, Document, ReplaceableDocument};
use super::error::{ClientError, MemberKeyProblem};
use super::formatting::percent_encode;
use super::member_pages::{changed_page, plan_page, status_page};
use super::tables::rows_of;
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
        let (before, after) = (canary_share_text(self), canary_share_text(new));
        if before != after {
            lines.push(format!("trial from {before} to {after}"));
        }
        lines.extend(differences_by_location(self.routes.iter(), new.routes.iter()));
        lines
    }
}

fn canary_share_text(document: &MemberDocument) -> String {
    document.canary_share.map_or("none".to_owned(), |share| share.to_string())
}

/// A member's key, as it stands in its file.
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

    /// The header that carries the key.
    fn header(&self) -> CallHeader<'_> {
        CallHeader { name: KEY_HEADER, value: &self.0 }
    }
}

/// Carries out a command on the register of members.
pub fn run_register(
    client: &OperatorClient,
    command: MemberRegisterCommand,
) -> Result<ExitCode, ClientError> {
    let page = match command {
        MemberRegisterCommand::Read => documents::read::<MemberRegister>(client)?,
        MemberRegisterCommand::Replace(file) => documents::replace::<MemberRegister>(client, &file)?,
        MemberRegisterCommand::Diff(file) => documents::diff::<MemberRegister>(client, &file)?,
    };
    print_page(&page)?;
    Ok(ExitCode::SUCCESS)
}

/// Carries out a command on one member's own routes.
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
            documents::diff_with::<MemberDocument>(client.json, &file, fetch)?
        }
        MemberCommand::Status => member.fetch_page(MemberCall::Status, status_page)?,
        MemberCommand::History => member.fetch_page(MemberCall::History, history::page)?,
        MemberCommand::RestorePrevious => member.change(MemberCall::Undo, &[])?,
        MemberCommand::PromoteCanary => member.change(MemberCall::Settle, &[])?,
        MemberCommand::WithdrawCanary => member.change(MemberCall::Withdraw, &[])?,
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
    Undo,
    Settle,
    Withdraw,
}

impl MemberCall {
    fn name(self) -> &'static str {
        match self {
            MemberCall::Read => "member.read",
            MemberCall::Plan => "member.plan",
            MemberCall::Replace => "member.replace",
            MemberCall::Status => "member.status",
            MemberCall::History => "member.history",
            MemberCall::Undo => "member.undo",
            MemberCall::Settle => "member.settle",
            MemberCall::Withdraw => "member.withdraw",
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

    fn fetch_page(&self, call: MemberCall, render: RenderPage) -> Result<String, ClientError> {
        self.client.render(self.call(call, &[])?.into_text()?, render)
    }

    /// Sends a change, and gives the page that says what came of it.
    fn change(&self, call: MemberCall, body: &[u8]) -> Result<String, ClientError> {
        let name = self.call_name(call);
        let header = self.key.as_ref().map(MemberKey::header);
        let idempotent = call != MemberCall::Undo;
        let call = ReplicaCall { name: &name, body, header, idempotent };
        let response = self.client.send_change(call)?.into_text()?;
        self.client.render(response, changed_page)
    }

    fn replace(&self, file: &Path) -> Result<String, ClientError> {
        let sent = documents::read_file(file)?;
        documents::parse_file::<MemberDocument>(file, &sent)?;
        self.change(MemberCall::Replace, &sent)
    }

    /// Prints what a document would change. The exit code says whether it would be refused.
    fn print_plan(&self, file: &Path) -> Result<ExitCode, ClientError> {
        let sent = documents::read_file(file)?;
        documents::parse_file::<MemberDocument>(file, &sent)?;
        let response = self.call(MemberCall::Plan, &sent)?.into_text()?;
        let forbidden = !rows_of(&parse_json(&response)?, "forbidden").is_empty();
        print_page(&self.client.render(response, plan_page)?)?;
        Ok(if forbidden { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}
