"""Retry budgets of the services."""

from bulrushbend.core.budget import RetryBudget


class RetryBudgets:
    """Retry budgets of the services, divided among the gateways.

    Parameters
    ----------
    share : float
        Retries earned by each request.
    burst : float
        Retries that may follow each other, summed over all gateways.
    """

    def __init__(self, share: float, burst: float):
        self._share = share
        self._burst = burst
        self._gateways = 1
        self._budgets: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service, created on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            max_tokens = self._burst / self._gateways
            budget = self._budgets[service] = RetryBudget(self._share, max_tokens)
        return budget

    def set_gateways(self, count: int) -> None:
        """Divide the burst among `count` gateways."""
        self._gateways = max(1, count)
        for budget in self._budgets.values():
            budget.set_max_tokens(self._burst / self._gateways)
