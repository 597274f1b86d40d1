"""What teams are given while they ask for more than the engines can read."""

import pytest
from fleet_model import PREFILL_TOKENS_PER_MS, OverloadModel, TeamLoad

SHORT = (300, 600, 900, 1800)
LONG = (5_000, 8_000)
MIXED = SHORT + LONG
ALL = (0, 1, 2, 3, 4, 5, 6)
ENDPOINTS = 8
# A team is owed half of what the best served one is given, as long as it asks for it.
LEAST_PART = 0.5
# Engines that are read out while prompts wait are rented for nothing. A gateway learns
# of room after a report, which is about as long as two short prompts take to read.
LEAST_USE = 0.7
# An endpoint that reads several prompts at once pauses its streams, so no more of them
# than this meet others above the bound.
MOST_TOGETHER = 0.05

UNEVEN = (
    TeamLoad("narrow", (3,), 250, MIXED),
    TeamLoad("wide", ALL, 250, MIXED),
    *(TeamLoad(f"small{number}", ALL, 15, MIXED) for number in range(8)),
)


async def play(*loads, seed=1, has_coordinator=False):
    model = OverloadModel(len(ALL), ENDPOINTS, loads, seed, has_coordinator)
    await model.play(6_000)
    return model


def used_part(model):
    return model.read_tokens / (6_000 * PREFILL_TOKENS_PER_MS * ENDPOINTS)


@pytest.mark.parametrize("has_coordinator", [False, True])
async def test_team_with_callers_at_one_gateway_gets_its_share(has_coordinator):
    # Guards against room that goes to whichever gateway looks first: on the bench a
    # team at one gateway got a quarter of what a team with callers at all of them got.
    model = await play(*UNEVEN, has_coordinator=has_coordinator)
    assert model.given["narrow"] >= LEAST_PART * model.given["wide"]
    assert used_part(model) >= LEAST_USE


async def test_long_prompts_find_room_beside_short_ones():
    # Guards against short prompts that keep all endpoints from running empty, which a
    # long prompt waits for.
    model = await play(
        TeamLoad("long", ALL, 60, LONG),
        TeamLoad("short", ALL, 600, SHORT),
    )
    assert model.given["long"] >= LEAST_PART * model.given["short"]
    assert used_part(model) >= LEAST_USE


async def test_coordinator_keeps_prompts_from_meeting_at_an_endpoint():
    # Guards against gateways that see the same room and take it together: without a
    # coordinator 679 of 1,531 prompts of this load met others.
    model = await play(*UNEVEN, has_coordinator=True)
    assert model.together <= MOST_TOGETHER * model.placed


async def test_smallest_requests_of_a_team_go_first():
    # Guards against a few long prompts that cost a team most of its callers.
    model = await play(TeamLoad("mixed", ALL, 700, MIXED), has_coordinator=True)
    mean_asked = sum(MIXED) / len(MIXED)
    assert model.given["mixed"] / model.placed < mean_asked
