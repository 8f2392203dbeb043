//! Server-rendered forms with which operators edit and publish a document.

mod draft;
mod pages;
mod schema;
mod session;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use axum::{
    Form, Router,
    extract::{Path, State},
    http::{HeaderMap, StatusCode, header},
    response::{Html, IntoResponse, Redirect, Response},
    routing::{get, post},
};
use rosethread_config::Document;
use tokio::net::TcpListener;

use crate::{
    commands,
    forms::{draft::Draft, schema::Section, session::Sessions},
    settings::ConsoleSettings,
    stream::{ConfigStream, PublishOutcome},
};

/// The state that all requests share.
struct AppState {
    settings: ConsoleSettings,
    sessions: Sessions,
    /// The operators' drafts, by operator name.
    drafts: Mutex<BTreeMap<String, Draft>>,
}

type SharedState = Arc<AppState>;
type Fields = BTreeMap<String, String>;

/// Serves the forms until the process is stopped.
pub(crate) async fn serve(settings: ConsoleSettings) -> Result<String, String> {
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(|it| format!("listen = {}: {it}", settings.listen))?;
    axum::serve(listener, router(settings)).await.map_err(|it| it.to_string())?;
    Ok(String::new())
}

fn router(settings: ConsoleSettings) -> Router {
    let app =
        AppState { settings, sessions: Sessions::default(), drafts: Mutex::new(BTreeMap::new()) };
    Router::new()
        .route("/", get(overview))
        .route("/login", get(login_page).post(login))
        .route("/section/{section}", get(section))
        .route("/section/{section}/{index}", get(entry).post(save))
        .route("/section/{section}/{index}/remove", post(remove))
        .route("/reload", post(reload))
        .route("/publish", get(preview).post(publish))
        .with_state(Arc::new(app))
}

impl AppState {
    fn drafts(&self) -> MutexGuard<'_, BTreeMap<String, Draft>> {
        self.drafts.lock().expect("the drafts lock is never poisoned")
    }

    /// Returns the operator's draft; a new one starts from the document in force.
    async fn draft(&self, operator: &str) -> Result<Draft, Response> {
        if let Some(draft) = self.drafts().get(operator) {
            return Ok(draft.clone());
        }
        let state = ConfigStream::new(&self.settings).read(None).await;
        let state =
            state.map_err(|it| unavailable_page(&format!("the log cannot be read: {it}")))?;
        let draft = Draft::from_document(&state.in_force.document, state.in_force.revision);
        self.drafts().insert(operator.to_owned(), draft.clone());
        Ok(draft)
    }

    fn store_draft(&self, operator: &str, draft: Draft) {
        self.drafts().insert(operator.to_owned(), draft);
    }

    /// Returns the logged-in operator, by the session cookie.
    fn operator(&self, headers: &HeaderMap) -> Option<String> {
        let cookie = headers.get(header::COOKIE).and_then(|it| it.to_str().ok());
        cookie.and_then(|it| self.sessions.operator(it))
    }
}

fn unavailable_page(text: &str) -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, Html(pages::message("Not now", text))).into_response()
}

fn redirect_to_login() -> Response {
    Redirect::to("/login").into_response()
}

fn not_found() -> Response {
    (StatusCode::NOT_FOUND, Html(pages::message("Not found", "There is no such form.")))
        .into_response()
}

async fn login_page() -> Html<String> {
    Html(pages::login(None))
}

async fn login(State(app): State<SharedState>, Form(fields): Form<Fields>) -> Response {
    let field = |name: &str| fields.get(name).map(String::as_str).unwrap_or_default();
    let operators = &app.settings.operators;
    match app.sessions.login(operators, field("name"), field("password")) {
        Some(cookie) => ([(header::SET_COOKIE, cookie)], Redirect::to("/")).into_response(),
        None => {
            let page = pages::login(Some("The name or the password is wrong."));
            (StatusCode::UNAUTHORIZED, Html(page)).into_response()
        }
    }
}

async fn overview(
    State(app): State<SharedState>,
    headers: HeaderMap,
) -> Result<Html<String>, Response> {
    let operator = app.operator(&headers).ok_or_else(redirect_to_login)?;
    let draft = app.draft(&operator).await?;
    let lag = commands::lag_lines(&app.settings, draft.base.0).await;
    Ok(Html(pages::overview(&operator, &draft, &lag)))
}

async fn section(
    State(app): State<SharedState>,
    headers: HeaderMap,
    Path(name): Path<String>,
) -> Result<Html<String>, Response> {
    let operator = app.operator(&headers).ok_or_else(redirect_to_login)?;
    let section = Section::find(&name).ok_or_else(not_found)?;
    let draft = app.draft(&operator).await?;
    Ok(Html(pages::section(section, &draft)))
}

async fn entry(
    State(app): State<SharedState>,
    headers: HeaderMap,
    Path((name, index)): Path<(String, usize)>,
) -> Result<Html<String>, Response> {
    let operator = app.operator(&headers).ok_or_else(redirect_to_login)?;
    let section = Section::find(&name).ok_or_else(not_found)?;
    let draft = app.draft(&operator).await?;
    let values = draft.values(section, index);
    Ok(Html(pages::entry(section, index, &values, &BTreeMap::new())))
}

/// Saves one entry to the draft.
///
/// If it is invalid, the form is shown again with the operator's input and an error beside each
/// invalid field.
async fn save(
    State(app): State<SharedState>,
    headers: HeaderMap,
    Path((name, index)): Path<(String, usize)>,
    Form(fields): Form<Fields>,
) -> Result<Response, Response> {
    let operator = app.operator(&headers).ok_or_else(redirect_to_login)?;
    let section = Section::find(&name).ok_or_else(not_found)?;
    let mut draft = app.draft(&operator).await?;
    let errors = draft.save(section, index, &fields);
    if errors.is_empty() {
        app.store_draft(&operator, draft);
        return Ok(Redirect::to(&format!("/section/{name}")).into_response());
    }
    let page = pages::entry(section, index, &fields, &errors);
    Ok((StatusCode::UNPROCESSABLE_ENTITY, Html(page)).into_response())
}

async fn remove(
    State(app): State<SharedState>,
    headers: HeaderMap,
    Path((name, index)): Path<(String, usize)>,
) -> Result<Redirect, Response> {
    let operator = app.operator(&headers).ok_or_else(redirect_to_login)?;
    let section = Section::find(&name).ok_or_else(not_found)?;
    let mut draft = app.draft(&operator).await?;
    draft.remove(section, index);
    app.store_draft(&operator, draft);
    Ok(Redirect::to(&format!("/section/{name}")))
}

/// Discards the draft; the next one starts from the document in force.
async fn reload(State(app): State<SharedState>, headers: HeaderMap) -> Result<Redirect, Response> {
    let operator = app.operator(&headers).ok_or_else(redirect_to_login)?;
    app.drafts().remove(&operator);
    Ok(Redirect::to("/"))
}

/// Shows the document and its changes before publication.
async fn preview(
    State(app): State<SharedState>,
    headers: HeaderMap,
) -> Result<Html<String>, Response> {
    let operator = app.operator(&headers).ok_or_else(redirect_to_login)?;
    let draft = app.draft(&operator).await?;
    Ok(Html(match draft.document() {
        Ok(document) => {
            let changes = rosethread_config::diff(&draft.origin, &document);
            pages::preview(&document.to_toml(), &changes)
        }
        Err(problems) => pages::message("The document is not valid", &problems.to_string()),
    }))
}

/// Publishes the draft and deletes it, or shows the differences if another document came first.
async fn publish(State(app): State<SharedState>, headers: HeaderMap) -> Result<Response, Response> {
    let operator = app.operator(&headers).ok_or_else(redirect_to_login)?;
    let draft = app.draft(&operator).await?;
    let document: Document = match draft.document() {
        Ok(document) => document,
        Err(problems) => {
            let page = pages::message("The document is not valid", &problems.to_string());
            return Ok((StatusCode::UNPROCESSABLE_ENTITY, Html(page)).into_response());
        }
    };
    let stream = ConfigStream::new(&app.settings);
    let published = stream.publish(&document, draft.base, &operator).await;
    match published.map_err(|it| unavailable_page(&it))? {
        PublishOutcome::Active(revision) => {
            app.drafts().remove(&operator);
            let text = format!("Revision {revision} by {operator} is in force.");
            Ok(Html(pages::message("Published", &text)).into_response())
        }
        PublishOutcome::Rejected { reason, in_force } => {
            let changes = rosethread_config::diff(&in_force.document, &document);
            let page = pages::conflict(&reason.to_string(), &changes);
            Ok((StatusCode::CONFLICT, Html(page)).into_response())
        }
    }
}
