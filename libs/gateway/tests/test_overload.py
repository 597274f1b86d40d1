"""Fairness and utilization when teams request more than the engines can process."""

import pytest
from fleet_model import PREFILL_TOKENS_PER_MS, OverloadModel, TeamLoad

SHORT = (300, 600, 900, 1800)
LONG = (5_000, 8_000)
MIXED = SHORT + LONG
ALL = (0, 1, 2, 3, 4, 5, 6)
ENDPOINTS = 8
# A team is entitled to half the tokens of the best served team while it requests them.
MIN_USAGE_RATIO = 0.5
# Engines that idle while prompts wait cost money without use. A gateway is
# notified of free capacity by a report, after about the time in which two short prompts
# are processed.
MIN_UTILIZATION = 0.7
# An endpoint that processes several long prompts at once pauses its streams, so at most
# this fraction of the prompts may exceed the bound together with others.
MAX_OVERLAPPING_SHARE = 0.05

UNEVEN = (
    TeamLoad("narrow", (3,), 250, MIXED),
    TeamLoad("wide", ALL, 250, MIXED),
    *(TeamLoad(f"small{number}", ALL, 15, MIXED) for number in range(8)),
)


async def run_model(*loads, seed=1, has_coordinator=False):
    model = OverloadModel(len(ALL), ENDPOINTS, loads, seed, has_coordinator)
    await model.run(6_000)
    return model


def utilization(model):
    return model.processed_tokens / (6_000 * PREFILL_TOKENS_PER_MS * ENDPOINTS)


@pytest.mark.parametrize("has_coordinator", [False, True])
async def test_team_with_callers_at_one_gateway_gets_its_share(has_coordinator):
    # Guards against free capacity that goes to whichever gateway polls first: in a
    # benchmark, a team at one gateway got a quarter of the tokens of a team with
    # callers at all gateways.
    model = await run_model(*UNEVEN, has_coordinator=has_coordinator)
    assert (
        model.served_tokens["narrow"] >= MIN_USAGE_RATIO * model.served_tokens["wide"]
    )
    assert utilization(model) >= MIN_UTILIZATION


async def test_long_prompts_are_not_starved_by_short_ones():
    # Guards against starvation of long prompts: one waits for an endpoint without other
    # prompts, and a flow of short prompts can keep all endpoints busy.
    model = await run_model(
        TeamLoad("long", ALL, 60, LONG),
        TeamLoad("short", ALL, 600, SHORT),
    )
    assert model.served_tokens["long"] >= MIN_USAGE_RATIO * model.served_tokens["short"]
    assert utilization(model) >= MIN_UTILIZATION


async def test_coordinator_prevents_overlapping_prompts_at_an_endpoint():
    # Guards against gateways that use the same free capacity at the same time: without
    # a coordinator, 679 of 1,531 prompts of this load overlapped with others.
    model = await run_model(*UNEVEN, has_coordinator=True)
    assert model.overlapping <= MAX_OVERLAPPING_SHARE * model.placed


async def test_smallest_requests_of_a_team_are_placed_first():
    # Guards against a few long prompts that use up the share of a team, so that most of
    # its callers are refused.
    model = await run_model(TeamLoad("mixed", ALL, 700, MIXED), has_coordinator=True)
    mean_prompt_tokens = sum(MIXED) / len(MIXED)
    assert model.served_tokens["mixed"] / model.placed < mean_prompt_tokens
