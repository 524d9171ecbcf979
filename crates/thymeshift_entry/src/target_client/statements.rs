//! What the head of an answer says of the target itself, rather than of the request.

use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use metrics::counter;
use spdlog::debug;
use spdlog::info;
use thymeshift_config::RequestRate;
use thymeshift_telemetry::metric;
use thymeshift_wire::Dialect;
use thymeshift_wire::Meaning;
use thymeshift_wire::RateLimitMistake;
use thymeshift_wire::RetryAfterMistake;

use crate::service::Destination;
use crate::target_client::Attempt;

/// The statements of one answer.
pub(super) struct Statements {
    rate_limit: Result<Option<RequestRate>, RateLimitMistake>,
    backoff: Result<Option<Duration>, RetryAfterMistake>,
    is_leaving: bool,
}

impl Statements {
    /// Whether the target asks for a backoff.
    pub(super) fn asks_for_backoff(&self) -> bool {
        matches!(self.backoff, Ok(Some(_)))
    }

    pub(super) fn read<D: Dialect>(status: StatusCode, headers: &HeaderMap) -> Self {
        Self {
            rate_limit: D::rate_limit(headers),
            backoff: D::backoff(status, headers),
            is_leaving: D::is_leaving(headers),
        }
    }
}

impl<D: Dialect> Attempt<D> {
    /// Learns what the target says of itself. An answer of another target, or to another request,
    /// says nothing of this one.
    pub(super) fn learn_statements(
        &mut self,
        meaning: Meaning,
        statements: Statements,
        destination: &Destination,
    ) {
        if matches!(meaning, Meaning::OtherTarget | Meaning::Foreign) {
            return;
        }
        self.learn_rate_limit(meaning, statements.rate_limit, destination);
        self.learn_backoff(statements.backoff, destination);
        if statements.is_leaving
            && let Some(mark) = self.grant().mark_leaving()
        {
            self.shared().record_leaving(&mark, "answer");
        }
    }

    /// An answer that did not run the request may come from a part of the target that does not know
    /// of a limit.
    fn learn_rate_limit(
        &self,
        meaning: Meaning,
        stated: Result<Option<RequestRate>, RateLimitMistake>,
        destination: &Destination,
    ) {
        let stated = match stated {
            Ok(stated) => stated,
            Err(mistake) => {
                debug!("rate_limit_unreadable", kv: {
                    service: = destination.service, target: = destination.name, error: = mistake
                });
                return;
            }
        };
        let may_end_it = matches!(meaning, Meaning::Answered | Meaning::Failed);
        if stated.is_none() && !may_end_it {
            return;
        }
        if self.grant().record_rate_limit(stated) && self.shared().allows_request_log_line() {
            let per_s = stated.map(|rate| rate.in_1000_s() as f64 / 1_000.0);
            info!("target_rate_limit", kv: {
                service: = destination.service, target: = destination.name,
                limit_per_s: = per_s.map_or("none".to_owned(), |per_s| per_s.to_string())
            });
        }
    }

    fn learn_backoff(
        &self,
        asked: Result<Option<Duration>, RetryAfterMistake>,
        destination: &Destination,
    ) {
        let service = destination.service.as_str().to_owned();
        match asked {
            Ok(None) => {}
            Ok(Some(backoff)) => {
                self.grant().back_off(backoff);
                counter!(metric::BACKOFFS_ASKED, "service" => service).increment(1);
                if self.shared().allows_request_log_line() {
                    info!("target_backoff", kv: {
                        service: = destination.service, target: = destination.name,
                        backoff_ms = backoff.as_millis() as u64,
                        obtained_by = self.grant().obtained_by()
                    });
                }
            }
            Err(mistake) => {
                counter!(metric::BACKOFFS_UNREADABLE, "service" => service).increment(1);
                debug!("retry_after_unreadable", kv: {
                    service: = destination.service, target: = destination.name, error: = mistake
                });
            }
        }
    }
}
