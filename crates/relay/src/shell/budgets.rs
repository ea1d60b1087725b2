//! Budgets of repeated attempts, one for each service.

use kingcupfall_core::ids;

use super::state::RelayState;
use crate::dispatch;

impl RelayState {
    /// Counts a caller's request, which adds to the budget of repeated attempts.
    pub(super) fn count_request(&self, service: &ids::ServiceName) {
        let now = self.now();
        self.with_budget(service, |budget, bounds| budget.record_request(now, bounds));
    }

    /// Takes one repeated attempt from the budget. Returns whether there was one.
    pub(super) fn try_acquire_repeat(
        &self,
        service: &ids::ServiceName,
        kind: dispatch::RepeatKind,
    ) -> bool {
        let now = self.now();
        let relay_count = self.relay_count();
        self.with_budget(service, |budget, bounds| {
            budget.try_acquire(now, bounds, relay_count, kind)
        })
    }

    /// Returns whether a repeated attempt is left in the budget.
    pub(super) fn has_available_repeat(
        &self,
        service: &ids::ServiceName,
        kind: dispatch::RepeatKind,
    ) -> bool {
        let now = self.now();
        let relay_count = self.relay_count();
        self.with_budget(service, |budget, bounds| {
            budget.has_available(now, bounds, relay_count, kind)
        })
    }

    /// Returns this relay's share of the requests for a service; `None` in a fleet so large that its
    /// relays do not report theirs to all others.
    pub(super) fn demand_share(&self, service: &ids::ServiceName) -> Option<f64> {
        let now = self.now();
        let relay_count = self.relay_count();
        let has_one_cell = self.members.borrow().depth().cell_count() == 1;
        has_one_cell.then(|| {
            self.with_budget(service, |budget, bounds| {
                budget.demand_share(now, bounds, relay_count)
            })
        })
    }

    /// Returns this relay's usage of each service's retry budget, as sent to peers.
    pub(super) fn budget_usages(&self) -> Vec<(ids::ServiceName, dispatch::BudgetUsage)> {
        let now = self.now();
        let bounds = self.settings.borrow().retry_bounds;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budgets = retry_budgets.iter_mut();
        budgets
            .map(|(service, budget)| (service.clone(), budget.usage(now, &bounds)))
            .collect()
    }

    /// Records a peer's usage of each service's retry budget.
    pub(super) fn record_peer_usages(
        &self,
        peer: &ids::VmName,
        usages: &[(ids::ServiceName, dispatch::BudgetUsage)],
    ) {
        for (service, usage) in usages {
            self.with_budget(service, |budget, _| budget.set_peer_usage(peer, *usage));
        }
    }

    fn with_budget<T>(
        &self,
        service: &ids::ServiceName,
        operation: impl FnOnce(&mut dispatch::RetryBudget, &dispatch::RetryBounds) -> T,
    ) -> T {
        let bounds = self.settings.borrow().retry_bounds;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        operation(retry_budgets.entry(service.clone()).or_default(), &bounds)
    }
}
