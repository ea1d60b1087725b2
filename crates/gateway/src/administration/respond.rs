//! Authentication of the administration API and its JSON responses.

use kingcupfall_core::keys;
use ntex::http;
use ntex::web;
use serde::Serialize;

use super::report;

/// Hash of the administration API's bearer key.
#[derive(Debug, Clone)]
pub struct AdministrationKey(keys::KeyHash);

impl AdministrationKey {
    /// Wraps the hash that requests are checked against.
    pub fn new(hash: keys::KeyHash) -> Self {
        Self(hash)
    }

    /// Returns a 401 error report unless the `Authorization` header of `request` holds the key.
    pub(super) fn authorize(&self, request: &web::HttpRequest) -> super::server::Result<()> {
        let header = request.headers().get(http::header::AUTHORIZATION);
        let text = header.and_then(|value| value.to_str().ok());
        let is_valid = text
            .and_then(|text| text.strip_prefix("Bearer "))
            .is_some_and(|key| keys::KeyHash::of_key(key).matches(&self.0));

        match is_valid {
            true => Ok(()),
            false => Err(error_report(
                401,
                "unauthorized",
                "the bearer key is missing or wrong",
            )),
        }
    }
}

/// Creates an error report; `code` is the stable code and `detail` the text for people.
pub fn error_report(status: u16, code: &str, detail: &str) -> report::ErrorReport {
    report::ErrorReport {
        status,
        code: code.into(),
        detail: detail.into(),
    }
}

/// Creates the JSON response of a report, or an RFC 9457 problem response of an error.
pub fn json_response(result: super::server::Result<impl Serialize>) -> web::HttpResponse {
    match result {
        Ok(value) => web::HttpResponse::Ok().json(&value),
        Err(error) => {
            let status = http::StatusCode::from_u16(error.status)
                .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
            web::HttpResponse::build(status)
                .content_type("application/problem+json")
                .json(&error)
        }
    }
}
