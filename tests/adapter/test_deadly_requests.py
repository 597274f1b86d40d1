"""A request that crashes each engine that begins to run it, and comes again."""

import asyncio
import json
from dataclasses import dataclass

import pytest
from deadly_deployment import SEED, deployment, restart
from machines import is_loopback_range_usable
from prompt_load import Attempt, Prompt, PromptLoad

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)

# Bounds of the platform's rules.
CONTACT_S = 3.0
CRASHES_UNTIL_KNOWN = 3
MAX_LATE_ARRIVALS = 3
MIN_BEGUN_FRACTION = 0.5
MIN_SAMPLE = 20
# A refusal is immediate if it does not wait for a slot or for a look at an engine.
MAX_REFUSAL_MS = 500.0

FIRST = "5c1e0"
# Requests that crash engines: all parts of the prompt are known to be sound, or there
# is no prompt.
DEADLY = {
    "prompt": Prompt("a", (FIRST, "ab00"), "gen", b"crashes with a prompt"),
    "plain": Prompt("a", (), "book", b"crashes without a prompt"),
}
# Sound requests of the same team, path and parts.
SOUND = {
    "prompt": Prompt("a", (FIRST, "ab00"), "gen"),
    "plain": Prompt("a", (), "book"),
}
CALM_S = 3.0
DEADLY_S = 14.0
# Time of a restart after the first request that crashes engines.
RESTART_S = 6.0


@dataclass
class Session:
    """What callers and engines saw of the requests of one kind.

    Attributes
    ----------
    deadly, sound : list of Attempt
        Requests that crash engines, and others with the same team, path and parts.
    crashes : list of float
        Times of the crashes.
    arrivals : list of tuple
        Time and id of each deadly request that reached an engine.
    deadly_from_s : float
        Time of the first deadly request.
    restarted : tuple of str and float
        Gateway that was started again, and when.
    events : list of dict
        Events that the gateways logged.
    """

    deadly: list[Attempt]
    sound: list[Attempt]
    crashes: list[float]
    arrivals: list[tuple[float, str]]
    deadly_from_s: float
    restarted: tuple[str, float]
    events: list[dict]

    @property
    def known_s(self) -> float:
        """Time of the third crash, or of the last if there are fewer."""
        return sorted(self.crashes)[:CRASHES_UNTIL_KNOWN][-1]

    def describe(self) -> str:
        """Return times relative to the first deadly request."""
        crashes = [round(at_s - self.deadly_from_s, 2) for at_s in sorted(self.crashes)]
        return f"{len(crashes)} crashes at {crashes} s"


async def play(folder) -> dict[str, Session]:
    """Send sound and deadly requests while a gateway is restarted."""
    loop = asyncio.get_running_loop()
    async with deployment(folder, model_engines=8) as machines:
        for engine in machines.engines:
            engine.deadly_bodies = {prompt.body for prompt in DEADLY.values()}
            engine.first_event_s = 0.05
            engine.down_s = 1.5
        loads = {
            kind: PromptLoad(machines, SEED, prefix=f"{number}")
            for number, kind in enumerate(DEADLY)
        }
        restarted = machines.hosts[0], 0.0

        async def restart_gateway():
            nonlocal restarted
            await asyncio.sleep(RESTART_S)
            starts = {}
            for load in loads.values():
                load.ready.discard(machines.hosts[0])
            await restart(loads["plain"], machines.hosts[0], starts)
            loads["prompt"].ready.add(machines.hosts[0])
            restarted = next(iter(starts.items()))

        async with asyncio.TaskGroup() as group:
            for kind, load in loads.items():
                sound = load.send_periodically(
                    12.0, CALM_S + DEADLY_S, lambda kind=kind: SOUND[kind]
                )
                group.create_task(sound)
            await asyncio.sleep(CALM_S)
            deadly_from_s = loop.time()
            group.create_task(restart_gateway())
            for kind, load in loads.items():
                deadly = load.send_periodically(
                    4.0, DEADLY_S, lambda kind=kind: DEADLY[kind]
                )
                group.create_task(deadly)
        events = [
            json.loads(line)
            for log in folder.glob("*-gateway.log")
            for line in log.read_text().splitlines()
            if line.startswith("{")
        ]
        return {
            kind: Session(
                deadly=[a for a in load.attempts if a.prompt.body],
                sound=[a for a in load.attempts if not a.prompt.body],
                crashes=[
                    at_s
                    for engine in machines.engines
                    if engine.service == ("llm" if kind == "prompt" else "app")
                    for at_s in engine.crashes
                ],
                arrivals=[
                    (arrival.at_s, arrival.request_id)
                    for engine in machines.engines
                    for arrival in engine.arrivals
                    if arrival.body == DEADLY[kind].body
                ],
                deadly_from_s=deadly_from_s,
                restarted=restarted,
                events=events,
            )
            for kind, load in loads.items()
        }


@pytest.fixture(scope="module")
def sessions(tmp_path_factory):
    return asyncio.run(play(tmp_path_factory.mktemp("deadly")))


@pytest.fixture(params=list(DEADLY))
def session(request, sessions):
    return sessions[request.param]


def test_deadly_request_reaches_few_engines_once_it_is_known(session):
    # Guards against a request without unproven parts that crashes all endpoints.
    host, started_s = session.restarted
    in_touch = {
        a.request_id
        for a in session.deadly
        if a.host != host or not started_s - 1.0 <= a.sent_s < started_s + CONTACT_S
    }
    limit_s = session.known_s + CONTACT_S
    late = [n for at_s, n in session.arrivals if at_s > limit_s and n in in_touch]
    assert len(late) <= MAX_LATE_ARRIVALS, f"{late}; {session.describe()}"


def test_sound_requests_like_a_deadly_one_are_served(session):
    # Guards against a quarantine of the team, the path or the parts of a request.
    settled_s = session.known_s + CONTACT_S
    first = [a for a in session.sound if not a.is_repeat]
    before = [a.status == 200 for a in first if a.sent_s < session.deadly_from_s - 1.0]
    after = [a.status == 200 for a in first if a.sent_s >= settled_s]
    assert min(len(before), len(after)) >= MIN_SAMPLE, session.describe()
    served_before, served_after = sum(before) / len(before), sum(after) / len(after)
    assert served_after >= MIN_BEGUN_FRACTION * served_before, (
        f"{served_before:.2f} served before, {served_after:.2f} afterwards;"
        f" {session.describe()}"
    )


def test_known_deadly_request_is_refused_at_once(session):
    # Guards against requests that are held until their deadline and never sent.
    sent = [a for a in session.deadly if a.sent_s >= session.known_s + CONTACT_S]
    assert len(sent) >= MIN_SAMPLE, session.describe()
    others = [
        (a.status, round(a.took_ms))
        for a in sent
        if a.status != 503 or a.took_ms > MAX_REFUSAL_MS
    ]
    assert len(others) <= MAX_LATE_ARRIVALS, f"{others} of {len(sent)}"


def test_restarted_gateway_does_not_send_a_known_deadly_request(session):
    # Guards against evidence that is lost with the process that collected it.
    host, started_s = session.restarted
    sent = [a for a in session.deadly if a.host == host and a.sent_s >= started_s]
    assert len(sent) > MAX_LATE_ARRIVALS, session.describe()
    late = [name for at_s, name in session.arrivals if at_s > started_s]
    assert len(late) <= MAX_LATE_ARRIVALS, f"{late}; {session.describe()}"


def test_refused_request_leads_to_its_quarantine_in_the_log(session):
    # Guards against refusals that an operator cannot relate to a crash.
    refused = {a.request_id for a in session.deadly if a.status == 503}
    identities = {
        event["identity"]
        for event in session.events
        if event.get("request_id") in refused
        and event.get("reason") == "request-quarantined"
    }
    quarantined = {
        event["identity"]
        for event in session.events
        if event["kind"] == "request-quarantined"
    }
    assert len(identities) == 1
    assert identities <= quarantined
