//! Answers of the administration API, and who gets them.

use kingcupfall_core::keys;
use ntex::http;
use ntex::web;
use serde::Serialize;

use super::report;

/// Hash of the administration API's bearer key.
#[derive(Debug, Clone)]
pub struct AdministrationKey(keys::KeyHash);

impl AdministrationKey {
    /// Takes the hash.
    pub fn new(hash: keys::KeyHash) -> Self {
        Self(hash)
    }

    /// Refuses a request that does not carry the key.
    pub(super) fn check(&self, request: &web::HttpRequest) -> super::server::Result<()> {
        let header = request.headers().get(http::header::AUTHORIZATION);
        let text = header.and_then(|value| value.to_str().ok());
        let is_known = text
            .and_then(|text| text.strip_prefix("Bearer "))
            .is_some_and(|bearer| keys::KeyHash::of_key(bearer).matches(&self.0));

        match is_known {
            true => Ok(()),
            false => Err(refuse(401, "unauthorized", "the bearer key is not right")),
        }
    }
}

/// Makes a refusal.
pub fn refuse(status: u16, code: &str, detail: &str) -> report::RefusalReport {
    report::RefusalReport {
        status,
        code: code.into(),
        detail: detail.into(),
    }
}

/// Makes the response of a report or a refusal.
pub fn response(result: super::server::Result<impl Serialize>) -> web::HttpResponse {
    match result {
        Ok(value) => web::HttpResponse::Ok().json(&value),
        Err(refusal) => {
            let status = http::StatusCode::from_u16(refusal.status)
                .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
            web::HttpResponse::build(status)
                .content_type("application/problem+json")
                .json(&refusal)
        }
    }
}
