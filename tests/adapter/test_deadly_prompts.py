"""Prompts with a part that crashes each engine that begins to answer them."""

import asyncio
from dataclasses import dataclass

import pytest
from deadly_deployment import SEED, deployment, model_engines, restart
from machines import is_loopback_range_usable
from prompt_load import Attempt, Prompt, PromptLoad

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)

# Bounds of the platform's rules.
CONTACT_S = 3.0
CRASHES_UNTIL_KNOWN = 5
MAX_LATE_ARRIVALS = 3
MIN_BEGUN_FRACTION = 0.5
MIN_SAMPLE = 20
# A refusal is immediate if it does not wait for a slot or for a look at an engine.
MAX_REFUSAL_MS = 500.0

# Requests that wait at an engine when it crashes for another reason.
MIN_WAITING = 2
DEADLY = "dead0"
# The part with which most prompts of the team begin.
FIRST = "5c1e0"
SHARED = [f"ab{number:02x}" for number in range(12)]
CALM_S = 4.0
DEADLY_S = 15.0
# Times of the restarts after the first request with the deadly part.
RESTARTS_S = (5.5, 8.5)


@dataclass
class Session:
    """What callers and engines saw in a session with a deadly part.

    Attributes
    ----------
    attempts : list of Attempt
        Requests of all callers.
    crashes : list of float
        Times of the crashes.
    arrivals : list of tuple
        Time and id of each request with the deadly part that reached an engine.
    deadly_from_s : float
        Time of the first request with the deadly part.
    restarts : dict of str to float
        Times at which gateways were started again.
    """

    attempts: list[Attempt]
    crashes: list[float]
    arrivals: list[tuple[float, str]]
    deadly_from_s: float
    restarts: dict[str, float]

    @property
    def known_s(self) -> float:
        """Time of the fifth crash, or of the last if there are fewer."""
        return sorted(self.crashes)[:CRASHES_UNTIL_KNOWN][-1]

    def is_in_touch(self, attempt: Attempt) -> bool:
        """Whether the gateway of an attempt has not been restarted recently."""
        started_s = self.restarts.get(attempt.host)
        return (
            started_s is None
            or attempt.sent_s < started_s - 1.0
            or attempt.sent_s >= started_s + CONTACT_S
        )

    def deadly_attempts(self, since_s: float) -> list[Attempt]:
        """Return the requests with the deadly part that were sent since a time."""
        return [
            attempt
            for attempt in self.attempts
            if DEADLY in attempt.prompt.parts and attempt.sent_s >= since_s
        ]

    def arrivals_after(self, limit_s: float) -> list[str]:
        """Return the requests with the deadly part that reached engines later."""
        return [name for at_s, name in self.arrivals if at_s > limit_s]

    def describe(self) -> str:
        """Return times relative to the first request with the deadly part."""
        crashes = [round(at_s - self.deadly_from_s, 2) for at_s in sorted(self.crashes)]
        restarts = {
            host: round(at_s - self.deadly_from_s, 2)
            for host, at_s in self.restarts.items()
        }
        return f"{len(crashes)} crashes at {crashes} s; restarts at {restarts} s"


def make_sound_prompt(load):
    key = load.random.choices("abc", (3, 1, 1))[0]
    first = load.random.choice((FIRST, FIRST, *SHARED))
    rest = load.random.sample(SHARED, load.random.randrange(3))
    route = load.random.choice(("gen", "once"))
    return Prompt(key, (first, *rest), route)


def make_deadly_prompt(load):
    prompt = make_sound_prompt(load)
    parts = list(prompt.parts)
    parts.insert(load.random.randrange(len(parts) + 1), DEADLY)
    return Prompt(prompt.key, tuple(parts), prompt.route)


async def play(folder) -> Session:
    """Send sound and deadly requests while two gateways are restarted in turn."""
    loop = asyncio.get_running_loop()
    async with deployment(folder, model_engines=8) as machines:
        engines = model_engines(machines)
        for engine in engines:
            engine.deadly_parts = {DEADLY}
            engine.first_event_s = 0.05
            engine.down_s = 2.5
        load = PromptLoad(machines, SEED)
        restarts = {}

        async def restart_gateways():
            for host, at_s in zip(machines.hosts, RESTARTS_S, strict=False):
                await asyncio.sleep(max(0.0, deadly_from_s + at_s - loop.time()))
                await restart(load, host, restarts)

        async with asyncio.TaskGroup() as group:
            sound = load.send_periodically(
                25.0, CALM_S + DEADLY_S, lambda: make_sound_prompt(load)
            )
            group.create_task(sound)
            await asyncio.sleep(CALM_S)
            deadly_from_s = loop.time()
            group.create_task(restart_gateways())
            deadly = load.send_periodically(
                4.0, DEADLY_S, lambda: make_deadly_prompt(load)
            )
            group.create_task(deadly)
        arrivals = [
            (arrival.at_s, arrival.request_id)
            for engine in engines
            for arrival in engine.arrivals
            if DEADLY in arrival.parts
        ]
        crashes = [at_s for engine in engines for at_s in engine.crashes]
        return Session(load.attempts, crashes, arrivals, deadly_from_s, restarts)


@pytest.fixture(scope="module")
def session(tmp_path_factory):
    return asyncio.run(play(tmp_path_factory.mktemp("deadly")))


def test_deadly_part_reaches_few_engines_once_it_is_known(session):
    # Guards against a prompt that crashes the engines of a fleet one after the other.
    in_touch = {a.request_id for a in session.attempts if session.is_in_touch(a)}
    arrivals = session.arrivals_after(session.known_s + CONTACT_S)
    late = [name for name in arrivals if name in in_touch]
    assert len(late) <= MAX_LATE_ARRIVALS, (
        f"{len(late)} requests reached engines; {session.describe()}"
    )


def test_sound_requests_beside_a_deadly_part_are_served(session):
    # Guards against a quarantine of a team or of a first part that is sound.
    related = [
        attempt
        for attempt in session.attempts
        if DEADLY not in attempt.prompt.parts
        and not attempt.is_repeat
        and session.is_in_touch(attempt)
        and (attempt.prompt.key == "a" or attempt.prompt.parts[0] == FIRST)
    ]
    settled_s = session.known_s + 2 * CONTACT_S
    before = [a.has_begun for a in related if a.sent_s < session.deadly_from_s - 1.0]
    after = [a.has_begun for a in related if a.sent_s >= settled_s]
    assert min(len(before), len(after)) >= MIN_SAMPLE, session.describe()
    begun_before, begun_after = sum(before) / len(before), sum(after) / len(after)
    assert begun_after >= MIN_BEGUN_FRACTION * begun_before, (
        f"{begun_before:.2f} began before, {begun_after:.2f} afterwards;"
        f" {session.describe()}"
    )


def test_requests_with_a_known_deadly_part_are_refused_at_once(session):
    # Guards against requests that are held until their deadline and never sent.
    sent = session.deadly_attempts(session.known_s + CONTACT_S)
    assert len(sent) >= MIN_SAMPLE, session.describe()
    others = [
        (a.status, round(a.took_ms))
        for a in sent
        if a.status != 503 or a.took_ms > MAX_REFUSAL_MS
    ]
    assert len(others) <= MAX_LATE_ARRIVALS, f"{others} of {len(sent)}"


def test_restarted_gateway_does_not_send_a_known_deadly_part(session):
    # Guards against evidence that is lost with the process that collected it.
    restarted = [
        attempt
        for host, started_s in session.restarts.items()
        for attempt in session.deadly_attempts(started_s)
        if attempt.host == host
    ]
    assert len(restarted) > MAX_LATE_ARRIVALS, session.describe()
    late = session.arrivals_after(min(session.restarts.values()))
    assert len(late) <= MAX_LATE_ARRIVALS, (
        f"{len(late)} requests reached engines; {session.describe()}"
    )


@pytest.mark.parametrize("crashes", [((0, 1.0), (0, 3.5)), ((0, 1.5), (1, 1.9))])
async def test_crashes_for_another_reason_do_not_refuse_sound_prompts(
    tmp_path, crashes
):
    # Guards against a quarantine of the parts that waited at an engine that crashed.
    loop = asyncio.get_running_loop()
    async with deployment(tmp_path, model_engines=4) as machines:
        engines = model_engines(machines)
        for engine in engines:
            engine.first_event_s = 0.6
            engine.down_s = 1.0
        load = PromptLoad(machines, SEED)
        rare = iter(range(1000))

        def make_rare_prompt():
            # Each rare part is in three requests that follow each other.
            part = f"ee{next(rare) // 3:03x}"
            return Prompt("a", (FIRST, part), load.random.choice(("gen", "once")))

        began_s = loop.time()
        async with asyncio.TaskGroup() as group:
            group.create_task(load.send_periodically(18.0, 4.0, make_rare_prompt))
            for number, at_s in crashes:
                await asyncio.sleep(max(0.0, began_s + at_s - loop.time()))
                engine = engines[number]

                async def holds_requests(engine=engine):
                    return engine.waiting >= MIN_WAITING

                await machines.wait_until(holds_requests, f"{engine.name} is busy")
                engine.crash()
        await asyncio.sleep(CONTACT_S)
        prompts = {a.prompt.parts: a.prompt for a in load.attempts}
        sent = len(load.attempts)
        await asyncio.gather(*[load.send(prompt) for prompt in prompts.values()])
        refused = [a for a in load.attempts[sent:] if a.status != 200]
        assert refused == []


async def test_reset_connections_do_not_refuse_the_parts_of_their_prompts(tmp_path):
    # Guards against resets of single connections that count as crashes of the engine.
    async with deployment(tmp_path, model_engines=3) as machines:
        load = PromptLoad(machines, SEED)
        prompts = [Prompt("a", (FIRST, part)) for part in SHARED]

        def make_prompt():
            return load.random.choice(prompts)

        for engine in model_engines(machines):
            engine.reset_share = 0.6
        await load.send_periodically(15.0, 3.0, make_prompt)
        assert any(attempt.status != 200 for attempt in load.attempts)
        for engine in model_engines(machines):
            engine.reset_share = 0.0
        await asyncio.sleep(CONTACT_S)
        sent = len(load.attempts)
        await load.send_periodically(15.0, 2.0, make_prompt)
        assert [a for a in load.attempts[sent:] if a.status != 200] == []
