import pytest

from bulrushbend.share.estimator import BalancedMean, RunningMean


def test_short_requests_do_not_bring_the_reserve_down():
    # In a mean over requests, one team with many short requests would dominate.
    balanced, plain = BalancedMean(), RunningMean()
    for estimator in (balanced, plain):
        for _ in range(50):
            estimator.record_cost("crew-a", 10_000.0)
        for _ in range(5000):
            estimator.record_cost("crew-b", 20.0)
    assert balanced.reserve_ms("crew-a", 0.0) > 4000.0
    assert plain.reserve_ms("crew-a", 0.0) < 100.0
    assert balanced.reserve_ms("crew-b", 0.0) == balanced.reserve_ms("crew-a", 500.0)


def test_mean_cost_of_a_team_follows_its_first_request():
    # With a prior, the mean cost of short requests would be too high at first, and the
    # picker would expect too few of them to end within the dissemination delay.
    estimator = BalancedMean()
    assert estimator.mean_cost_ms("crew-a") == 3000.0
    estimator.record_cost("crew-a", 20.0)
    assert estimator.mean_cost_ms("crew-a") == 20.0


@pytest.mark.parametrize("estimator", [RunningMean(), BalancedMean()])
def test_instant_requests_leave_a_reserve(estimator):
    # With a reserve of 0, a claim would not increase the virtual time of its team.
    for _ in range(100_000):
        estimator.record_cost("crew-a", 0.0)
    assert estimator.reserve_ms("crew-a", 0.0) >= 1.0
