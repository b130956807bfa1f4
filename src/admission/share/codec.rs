//! Conversion of reports and share tables to and from wire messages.

use std::sync::Arc;
use std::time::Duration;

use super::{Report, Table};
use crate::wire::{Body, limits};

pub fn message(body: limits::Body) -> Body {
    Body::Limits(limits::Message { body: Some(body) })
}

pub fn decode_table(json: &[u8]) -> Option<Table> {
    serde_json::from_slice(json).ok()
}

pub fn encode_table(table: &Table) -> Vec<u8> {
    serde_json::to_vec(table).unwrap_or_default()
}

pub fn encode_report(report: &Report, newer: Option<&Arc<Table>>) -> limits::Report {
    limits::Report {
        incarnation: report.incarnation,
        epoch: report.epoch,
        settled: report.settled,
        adopted: report.adopted,
        remaining_us: report.remaining.as_micros() as u64,
        table: newer.map(|table| encode_table(table)),
    }
}

pub fn decode_report(report: &limits::Report) -> Report {
    Report {
        incarnation: report.incarnation,
        epoch: report.epoch,
        settled: report.settled,
        adopted: report.adopted,
        remaining: Duration::from_micros(report.remaining_us),
    }
}

pub fn decode_loan(answer: Body) -> Option<limits::Loan> {
    match answer {
        Body::Limits(limits::Message { body: Some(limits::Body::Loan(loan)) }) => Some(loan),
        _ => None,
    }
}
