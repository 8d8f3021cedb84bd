//! Reports how well the planners predict first events.

use std::time::Duration;

use super::super::now;
use super::Queue;
use crate::metric;

/// Minimum interval between two reports.
const PREDICTION_REPORT_INTERVAL: Duration = Duration::from_secs(5);

impl Queue {
    /// Sets the metric of the prediction error, and logs it periodically. A follower's planner does not know the prompts
    /// of other entries, so that its predictions say nothing.
    pub(super) fn report_prediction_error(&self) {
        let now = now();
        if self.has_leader() || now.since(self.last_prediction_report.get()) < PREDICTION_REPORT_INTERVAL {
            return;
        }
        self.last_prediction_report.set(now);
        for (service, planner) in &*self.planners.borrow() {
            let Some(error) = planner.prediction_error() else { continue };
            metric::set_prediction(service, &error);
            crate::event!("prediction", service = %service, count = error.count, predicted_ms = error.predicted_ms as u64, actual_ms = error.actual_ms as u64, margin_ms = error.margin_ms as u64, for_long = planner.engines_for_long());
        }
    }
}
