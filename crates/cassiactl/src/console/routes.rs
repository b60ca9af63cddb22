//! Routes of the console.

use std::sync::Arc;

use axum::extract::{DefaultBodyLimit, Form, Path, Request, State};
use axum::http::{header, HeaderMap, StatusCode};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Redirect, Response};
use axum::routing::{get, post};
use axum::Router;
use coordination::document_diff::{
    check_member_changes, difference, merge, merge_preferring_theirs, value_difference,
    DocumentChange, MergeError,
};
use maud::{html, Markup};
use protocol::peer::DocumentVersion;
use serde_json::Value;
use state::check::CheckProblem;
use state::document::IntentDocument;
use transport::seam::{ObjectStore, TableService};

use super::form::{apply_form, find_section, read_draft, FormAction, PostedField};
use super::operator::{DocumentDraft, OperatorSession};
use super::page::{self, PageFrame, ReviewContent};
use super::{status, ConsoleContext};
use crate::archive::{PublishAnswer, StoredDocument};

/// Name of the session cookie.
const COOKIE: &str = "cassia_console";
/// Largest posted form in bytes.
const FORM_LIMIT_BYTES: usize = 8 << 20;
/// Versions that the history page lists.
const HISTORY_LENGTH: u64 = 50;

type Context<T, O> = Arc<ConsoleContext<T, O>>;
type Fields = Vec<(String, String)>;
type Result<T> = std::result::Result<T, ConsoleError>;

/// Why a page could not be shown or an action not carried out.
#[derive(Debug)]
enum ConsoleError {
    /// Nobody is signed in.
    SignedOut,
    /// The form token is missing or wrong.
    WrongFormToken,
    /// No such page, section or version.
    NotFound,
    /// The posted form does not fit the draft.
    BadForm(String),
    /// The platform's store did not answer.
    Store(String),
}

impl IntoResponse for ConsoleError {
    fn into_response(self) -> Response {
        let (code, text) = match self {
            Self::SignedOut => return Redirect::to("/sign-in").into_response(),
            Self::WrongFormToken => (
                StatusCode::FORBIDDEN,
                "The form does not come from this sign-in. Nothing was changed.".to_owned(),
            ),
            Self::NotFound => (StatusCode::NOT_FOUND, "There is no such page.".to_owned()),
            Self::BadForm(reason) => (
                StatusCode::UNPROCESSABLE_ENTITY,
                format!("Nothing was changed: {reason}"),
            ),
            Self::Store(reason) => (
                StatusCode::BAD_GATEWAY,
                format!("The platform's store did not answer ({reason}). Nothing was changed."),
            ),
        };
        let frame = PageFrame {
            title: "Not done",
            operator: None,
            form_token: "",
        };
        let content = html! { (page::alert(&text)) p { a href="/" { "Back to the overview" } } };
        (code, page::frame_page(frame, &content)).into_response()
    }
}

/// Builds the router.
pub(super) fn router<T: TableService, O: ObjectStore>(context: Context<T, O>) -> Router {
    Router::new()
        .route("/", get(show_overview::<T, O>))
        .route("/sign-in", get(show_sign_in).post(sign_in::<T, O>))
        .route("/sign-out", post(sign_out::<T, O>))
        .route(
            "/section/{key}",
            get(show_section::<T, O>).post(edit_section::<T, O>),
        )
        .route("/review", get(show_review::<T, O>))
        .route("/merge", post(merge_draft::<T, O>))
        .route("/discard", post(discard_draft::<T, O>))
        .route("/accept", post(accept_draft::<T, O>))
        .route("/history", get(show_history::<T, O>))
        .route("/history/{version}", get(show_version::<T, O>))
        .route("/restore/{version}", post(restore_version::<T, O>))
        .route("/status", get(show_status::<T, O>))
        .fallback(|| async { ConsoleError::NotFound })
        .layer(DefaultBodyLimit::max(FORM_LIMIT_BYTES))
        .layer(middleware::from_fn(add_security_headers))
        .with_state(context)
}

/// Forbids framing, scripts and caching: pages hold form tokens.
async fn add_security_headers(request: Request, next: Next) -> Response {
    const HEADERS: [(header::HeaderName, &str); 5] = [
        (
            header::CONTENT_SECURITY_POLICY,
            "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; \
             frame-ancestors 'none'; base-uri 'none'",
        ),
        (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
        (header::X_FRAME_OPTIONS, "DENY"),
        (header::REFERRER_POLICY, "no-referrer"),
        (header::CACHE_CONTROL, "no-store"),
    ];
    let mut response = next.run(request).await;
    for (name, value) in HEADERS {
        let value = header::HeaderValue::from_static(value);
        response.headers_mut().insert(name, value);
    }
    response
}

fn cookie_of(headers: &HeaderMap) -> Option<&str> {
    let cookies = headers.get(header::COOKIE)?.to_str().ok()?;
    cookies
        .split(';')
        .filter_map(|cookie| cookie.trim().split_once('='))
        .find(|(name, _)| *name == COOKIE)
        .map(|(_, id)| id)
}

fn field<'a>(fields: &'a Fields, name: &str) -> &'a str {
    fields
        .iter()
        .find(|(key, _)| key == name)
        .map_or("", |(_, value)| value.as_str())
}

impl<T: TableService, O: ObjectStore> ConsoleContext<T, O> {
    /// Returns a copy of the signed-in operator's session.
    fn signed_in(&self, headers: &HeaderMap) -> Result<OperatorSession> {
        let id = cookie_of(headers).ok_or(ConsoleError::SignedOut)?;
        let mut operators = self.operators.lock().expect("no panic holds this lock");
        let session = operators.find(id, self.now());
        session.cloned().ok_or(ConsoleError::SignedOut)
    }

    /// As [`Self::signed_in`], for a posted form with its token.
    fn signed_in_form(&self, headers: &HeaderMap, fields: &Fields) -> Result<OperatorSession> {
        let session = self.signed_in(headers)?;
        if !session.accepts_form(field(fields, "form_token")) {
            return Err(ConsoleError::WrongFormToken);
        }
        Ok(session)
    }

    fn store_draft(&self, headers: &HeaderMap, draft: Option<DocumentDraft>) -> Result<()> {
        let id = cookie_of(headers).ok_or(ConsoleError::SignedOut)?;
        let mut operators = self.operators.lock().expect("no panic holds this lock");
        let session = operators.find(id, self.now());
        session.ok_or(ConsoleError::SignedOut)?.draft = draft;
        Ok(())
    }

    /// Returns the operator's draft, or a new one of the version in force.
    async fn draft_of(&self, session: &OperatorSession) -> Result<DocumentDraft> {
        if let Some(draft) = &session.draft {
            return Ok(draft.clone());
        }
        let head = self.load_head().await?;
        Ok(begin_draft(&head, &head.document))
    }

    async fn load_head(&self) -> Result<StoredDocument> {
        let head = self.archive.load_head().await.map_err(store_error)?;
        Ok(head.unwrap_or_else(no_version))
    }

    async fn load_version(&self, version: u64) -> Result<StoredDocument> {
        let stored = self.archive.load(version).await.map_err(store_error)?;
        stored.ok_or(ConsoleError::NotFound)
    }
}

fn store_error(error: impl std::fmt::Display) -> ConsoleError {
    ConsoleError::Store(error.to_string())
}

/// Stands for the document before the first version.
fn no_version() -> StoredDocument {
    StoredDocument {
        version: DocumentVersion::default(),
        text: String::new(),
        document: IntentDocument::default(),
    }
}

/// Starts a draft with the content of `document` on top of the version in
/// force.
fn begin_draft(head: &StoredDocument, document: &IntentDocument) -> DocumentDraft {
    DocumentDraft {
        base_version: head.version.clone(),
        base: head.document.clone(),
        value: draft_value(document),
    }
}

/// Reads a draft as a document that may follow its base, or reports all
/// problems.
fn check_draft(draft: &DocumentDraft) -> std::result::Result<IntentDocument, Vec<CheckProblem>> {
    let document = read_draft(&draft.value)?;
    let problems = check_member_changes(&draft.base, &document);
    if problems.is_empty() {
        return Ok(document);
    }
    Err(problems)
}

fn draft_changes(draft: &DocumentDraft) -> Vec<DocumentChange> {
    value_difference(&draft_value(&draft.base), &draft.value)
}

fn draft_value(document: &IntentDocument) -> Value {
    serde_json::to_value(document).expect("a document of plain fields converts to JSON")
}

fn show(title: &str, session: &OperatorSession, content: &Markup) -> Response {
    let frame = PageFrame {
        title,
        operator: Some(&session.operator),
        form_token: &session.form_token,
    };
    page::frame_page(frame, content).into_response()
}

async fn show_sign_in() -> Response {
    sign_in_page(false)
}

fn sign_in_page(failed: bool) -> Response {
    let frame = PageFrame {
        title: "Sign in",
        operator: None,
        form_token: "",
    };
    page::frame_page(frame, &page::sign_in_form(failed)).into_response()
}

async fn sign_in<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    Form(fields): Form<Fields>,
) -> Response {
    let id = {
        let mut operators = context.operators.lock().expect("no panic holds this lock");
        operators.sign_in(
            &context.credentials,
            field(&fields, "operator"),
            field(&fields, "password"),
            context.now(),
        )
    };
    let Some(id) = id else {
        log::warn!("console: refused a sign-in");
        return (StatusCode::UNAUTHORIZED, sign_in_page(true)).into_response();
    };
    let cookie = format!("{COOKIE}={id}; HttpOnly; SameSite=Strict; Path=/");
    ([(header::SET_COOKIE, cookie)], Redirect::to("/")).into_response()
}

async fn sign_out<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    headers: HeaderMap,
    Form(fields): Form<Fields>,
) -> Result<Redirect> {
    context.signed_in_form(&headers, &fields)?;
    if let Some(id) = cookie_of(&headers) {
        let mut operators = context.operators.lock().expect("no panic holds this lock");
        operators.sign_out(id);
    }
    Ok(Redirect::to("/sign-in"))
}

async fn show_overview<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    headers: HeaderMap,
) -> Result<Response> {
    let session = context.signed_in(&headers)?;
    let draft = context.draft_of(&session).await?;
    let changes = draft_changes(&draft).len();
    let problems = check_draft(&draft).err().unwrap_or_default();
    let content = html! {
        (page::overview(&draft.value, draft.base_version.version, changes))
        (page::problem_list(&problems))
    };
    Ok(show("Overview", &session, &content))
}

async fn show_section<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Result<Response> {
    let session = context.signed_in(&headers)?;
    let section = find_section(&key).ok_or(ConsoleError::NotFound)?;
    let draft = context.draft_of(&session).await?;
    let mut problems = check_draft(&draft).err().unwrap_or_default();
    problems.retain(|problem| problem.path.starts_with(section.key));
    let content = page::section_form(section, &draft.value, &session.form_token, &problems);
    Ok(show(section.title, &session, &content))
}

async fn edit_section<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    Form(fields): Form<Fields>,
) -> Result<Redirect> {
    let session = context.signed_in_form(&headers, &fields)?;
    let section = find_section(&key).ok_or(ConsoleError::NotFound)?;
    let mut draft = context.draft_of(&session).await?;
    let bad_form = |error: super::form::FormError| ConsoleError::BadForm(error.to_string());
    let action = FormAction::parse(field(&fields, "action")).map_err(bad_form)?;
    let posted: Vec<PostedField> = fields
        .iter()
        .filter(|(name, _)| name.starts_with('/'))
        .map(|(name, text)| PostedField {
            pointer: name.clone(),
            text: text.clone(),
        })
        .collect();
    draft.value = apply_form(&draft.value, &posted, &action).map_err(bad_form)?;
    context.store_draft(&headers, Some(draft))?;
    Ok(Redirect::to(&format!("/section/{}", section.key)))
}

async fn show_review<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    headers: HeaderMap,
) -> Result<Response> {
    let session = context.signed_in(&headers)?;
    let draft = context.draft_of(&session).await?;
    let head = context.load_head().await?;
    let content = review_content(&draft, &head, &session.form_token);
    Ok(show("Review and accept", &session, &content))
}

fn review_content(draft: &DocumentDraft, head: &StoredDocument, form_token: &str) -> Markup {
    let read = check_draft(draft);
    let problems = read.as_ref().err().cloned().unwrap_or_default();
    let after = read.unwrap_or_else(|_| draft.base.clone());
    let conflicts = match merge(&draft.base, &after, &head.document) {
        Err(MergeError::Conflicts(conflicts)) => conflicts,
        Err(MergeError::BadShape(_)) | Ok(_) => Vec::new(),
    };
    let content = ReviewContent {
        changes: &draft_changes(draft),
        others: &difference(&draft.base, &head.document),
        conflicts: &conflicts,
        problems: &problems,
        before: &draft.base.render(),
        after: &after.render(),
        base_version: draft.base_version.version,
        head_version: head.version.version,
    };
    page::review(content, form_token)
}

async fn merge_draft<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    headers: HeaderMap,
    Form(fields): Form<Fields>,
) -> Result<Redirect> {
    let session = context.signed_in_form(&headers, &fields)?;
    let draft = context.draft_of(&session).await?;
    let head = context.load_head().await?;
    let ours = check_draft(&draft)
        .map_err(|_| ConsoleError::BadForm("the draft has problems".to_owned()))?;
    let merged = merge_preferring_theirs(&draft.base, &ours, &head.document)
        .map_err(|_| ConsoleError::BadForm("the changes cannot be merged".to_owned()))?;
    context.store_draft(&headers, Some(begin_draft(&head, &merged)))?;
    Ok(Redirect::to("/review"))
}

async fn discard_draft<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    headers: HeaderMap,
    Form(fields): Form<Fields>,
) -> Result<Redirect> {
    context.signed_in_form(&headers, &fields)?;
    context.store_draft(&headers, None)?;
    Ok(Redirect::to("/"))
}

async fn accept_draft<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    headers: HeaderMap,
    Form(fields): Form<Fields>,
) -> Result<Response> {
    let session = context.signed_in_form(&headers, &fields)?;
    let draft = context.draft_of(&session).await?;
    let Ok(document) = check_draft(&draft) else {
        return Ok(Redirect::to("/review").into_response());
    };
    let answer = context
        .archive
        .publish(&draft.base_version, &document)
        .await;
    match answer {
        PublishAnswer::Accepted { version } => {
            log::info!(operator = session.operator.as_str(), version = version; "console: accepted a document version");
            context.store_draft(&headers, None)?;
            let text = format!("Version {version} is accepted.");
            Ok(show("Accepted", &session, &page::notice(&text)))
        }
        // The review page shows what changed since and offers the merge.
        PublishAnswer::Conflict { .. } => Ok(Redirect::to("/review").into_response()),
        PublishAnswer::Unavailable => Err(ConsoleError::Store("the draft is kept".to_owned())),
        PublishAnswer::Unknown => {
            let text = "The platform's store did not tell whether the version was accepted. \
                        The draft is kept; look at the history before you accept it again.";
            Ok(show("Not known", &session, &page::alert(text)))
        }
    }
}

async fn show_history<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    headers: HeaderMap,
) -> Result<Response> {
    let session = context.signed_in(&headers)?;
    let newest = context.load_head().await?.version.version;
    let oldest = newest.saturating_sub(HISTORY_LENGTH) + 1;
    let versions: Vec<u64> = (oldest..=newest).rev().collect();
    let content = page::history(&versions, &session.form_token);
    Ok(show("History", &session, &content))
}

async fn show_version<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    Path(version): Path<u64>,
    headers: HeaderMap,
) -> Result<Response> {
    let session = context.signed_in(&headers)?;
    let stored = context.load_version(version).await?;
    let content = page::version_text(&stored.text);
    Ok(show(&format!("Version {version}"), &session, &content))
}

async fn restore_version<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    Path(version): Path<u64>,
    headers: HeaderMap,
    Form(fields): Form<Fields>,
) -> Result<Redirect> {
    context.signed_in_form(&headers, &fields)?;
    let stored = context.load_version(version).await?;
    let head = context.load_head().await?;
    context.store_draft(&headers, Some(begin_draft(&head, &stored.document)))?;
    Ok(Redirect::to("/review"))
}

async fn show_status<T: TableService, O: ObjectStore>(
    State(context): State<Context<T, O>>,
    headers: HeaderMap,
) -> Result<Response> {
    let session = context.signed_in(&headers)?;
    let rows = status::collect(context.daemon).await;
    Ok(show("Status", &session, &page::status_table(&rows)))
}
