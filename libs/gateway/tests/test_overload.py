"""What teams are given while they ask for more than the engines can read."""

import pytest
from fleet_model import READ_TOKENS_PER_MS, OverloadModel, TeamLoad

SHORT = (300, 600, 900, 1800)
LONG = (5_000, 8_000)
MIXED = (300, 600, 900, 1800, 5_000, 8_000)
ALL = (0, 1, 2, 3, 4, 5, 6)
# A team is owed half of what the best served one is given, as long as it asks for it.
LEAST_PART = 0.5
# Engines that are read out while prompts wait are rented for nothing. A gateway learns
# of room after a report, which is about as long as two short prompts take to read.
LEAST_USE = 0.7

ENDPOINTS = 8


async def play(*loads, seed=1):
    model = OverloadModel(len(ALL), ENDPOINTS, loads, seed)
    await model.play(6_000)
    return model


def used_part(model):
    return model.read_tokens / (6_000 * READ_TOKENS_PER_MS * ENDPOINTS)


@pytest.mark.parametrize("seed", [1, 2])
async def test_team_with_callers_at_one_gateway_gets_its_share(seed):
    # Guards against room that goes to whichever gateway looks first: on the bench a
    # team at one gateway got a quarter of what a team with callers at all of them got.
    model = await play(
        TeamLoad("narrow", (3,), 250, MIXED),
        TeamLoad("wide", ALL, 250, MIXED),
        *[TeamLoad(f"small{n}", ALL, 15, MIXED) for n in range(8)],
        seed=seed,
    )
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
