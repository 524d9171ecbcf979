//! Statements of a target about itself in the head of an answer: rate limit, backoff, leaving.

use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use metrics::counter;
use spdlog::debug;
use spdlog::info;
use thymeshift_config::RequestRate;
use thymeshift_telemetry::metric;
use thymeshift_wire::AnswerClass;
use thymeshift_wire::Dialect;
use thymeshift_wire::RateLimitError;
use thymeshift_wire::RetryAfterError;

use crate::service::Destination;
use crate::target_client::Attempt;

/// Statements about the target in the head of one answer.
pub(super) struct TargetStatements {
    rate_limit: Result<Option<RequestRate>, RateLimitError>,
    backoff: Result<Option<Duration>, RetryAfterError>,
    is_leaving: bool,
}

impl TargetStatements {
    /// Returns whether the target requests a backoff.
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
    /// Records the statements of an answer in the target's state.
    ///
    /// Ignores answers of another target or to another request, which don't describe this target.
    pub(super) fn apply_statements(
        &mut self,
        answer_class: AnswerClass,
        statements: TargetStatements,
        destination: &Destination,
    ) {
        if matches!(answer_class, AnswerClass::WrongTarget | AnswerClass::WrongAttempt) {
            return;
        }
        self.apply_rate_limit(answer_class, statements.rate_limit, destination);
        self.apply_backoff(statements.backoff, destination);
        if statements.is_leaving
            && let Some(mark) = self.grant().mark_leaving()
        {
            self.shared().record_leaving(&mark, "answer");
        }
    }

    /// Records the rate limit that the answer states, or its end.
    ///
    /// Only answers to requests that ran can end a rate limit.
    /// Other answers may come from a part of the target that does not know the limit.
    fn apply_rate_limit(
        &self,
        answer_class: AnswerClass,
        stated: Result<Option<RequestRate>, RateLimitError>,
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
        let may_end_limit = matches!(answer_class, AnswerClass::Answered | AnswerClass::Failed);
        if stated.is_none() && !may_end_limit {
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

    fn apply_backoff(
        &self,
        requested: Result<Option<Duration>, RetryAfterError>,
        destination: &Destination,
    ) {
        let service = destination.service.as_str().to_owned();
        match requested {
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
