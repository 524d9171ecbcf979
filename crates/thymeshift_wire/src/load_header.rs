//! Load reports that targets attach to answers, in the text format of the ORCA specification.
//!
//! Example: `TEXT named_metrics.running=2, named_metrics.queued=0`
//!
//! * `running` and `queued`: number of requests; a report with neither field is ignored.
//! * `incarnation`: incarnation of the target.
//! * `draining`: 1 if the target is leaving, else 0.
//! * `pace_percent`: current duration of work, in percent of the usual duration.
//! * `cold_for_ms`: remaining time for which the target is cold, in milliseconds.
//!
//! Unknown fields are ignored.

use http::HeaderMap;
use http::HeaderValue;
use thymeshift_dispatch::LoadReport;
use thymeshift_dispatch::ReportedState;
use thymeshift_dispatch::USUAL_PACE_PERCENT;
use thymeshift_types::Incarnation;

use crate::headers;

/// Prefix of a load report in the text format of the ORCA specification.
const FORMAT: &str = "TEXT ";
/// Prefix of the names of custom fields in a load report.
const NAMED: &str = "named_metrics.";

/// Reads the load report of an answer.
///
/// A malformed report counts as missing, so that the caller still receives the answer.
pub fn read(map: &HeaderMap) -> Option<LoadReport> {
    let text = map.get(&headers::LOAD)?.to_str().ok()?;
    let fields = text.strip_prefix(FORMAT)?;
    let mut running = None;
    let mut queued = None;
    let mut incarnation = None;
    let mut state = ReportedState::Serving;
    let mut pace_percent = None;
    let mut cold_for_ms = None;
    for field in fields.split(',') {
        let (name, value) = field.split_once('=')?;
        let name = name.trim();
        let value = value.trim().parse::<f64>().ok()?;
        if !value.is_finite() || value < 0.0 {
            return None;
        }
        match name.strip_prefix(NAMED).unwrap_or(name) {
            "running" => running = Some(value as u32),
            "queued" => queued = Some(value as u32),
            "incarnation" => incarnation = Some(Incarnation::new(value as u64)),
            "pace_percent" => pace_percent = Some(value as u32),
            "cold_for_ms" => cold_for_ms = Some(value as u32),
            "draining" if value > 0.0 => state = ReportedState::Draining,
            _ => {}
        }
    }
    if running.is_none() && queued.is_none() {
        return None;
    }
    let (running, queued) = (running.unwrap_or(0), queued.unwrap_or(0));
    let pace_percent = pace_percent.unwrap_or(USUAL_PACE_PERCENT);
    Some(LoadReport { running, queued, incarnation, state, pace_percent, cold_for_ms })
}

/// Encodes a load report as a header value.
pub fn write(report: &LoadReport) -> HeaderValue {
    let LoadReport { running, queued, incarnation, state, pace_percent, cold_for_ms } = report;
    let draining = u8::from(*state == ReportedState::Draining);
    let incarnation = incarnation
        .map_or(String::new(), |incarnation| format!(", {NAMED}incarnation={incarnation}"));
    let cold = cold_for_ms.map_or(String::new(), |left| format!(", {NAMED}cold_for_ms={left}"));
    let text = format!(
        "{FORMAT}{NAMED}running={running}, {NAMED}queued={queued}, \
         {NAMED}draining={draining}, {NAMED}pace_percent={pace_percent}{incarnation}{cold}"
    );
    // Digits and fixed ASCII text always form a valid header value.
    HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
