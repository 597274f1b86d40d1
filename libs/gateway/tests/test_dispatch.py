import asyncio
import contextlib
import itertools

import pytest
from gateway_builders import (
    END_OF_CHUNKS,
    GatewayComponents,
    PlainHeaderCodec,
    RecordingSink,
    ScriptedEndpoint,
    begin,
    chunk,
    event,
    make_call,
    make_endpoint,
    make_route,
    plain_response,
    stream_head,
)

from bulrushbend.core.clock import Clock
from bulrushbend.core.manifest import RouteKind
from bulrushbend.gateway.attempt import AttemptContext, Verdict
from bulrushbend.gateway.budgets import RetryBudgets
from bulrushbend.gateway.call import Placement, RequestError, quarantine_error
from bulrushbend.gateway.coordinators import Coordinators
from bulrushbend.gateway.crash_reports import CrashReports
from bulrushbend.gateway.dispatch import Dispatcher
from bulrushbend.gateway.known_quarantines import KnownQuarantine
from bulrushbend.gateway.quarantine import Suspect
from bulrushbend.wire.exchange import Exchange, _ResponseReader

NOT_RUN_STATUSES = (408, 421, 429, 503)


class DispatcherFixture:
    """A dispatcher that sends requests to scripted endpoints."""

    def __init__(self, *endpoints, budget=10.0):
        clock = Clock()
        found = [make_endpoint(f"e{i}", e.address) for i, e in enumerate(endpoints)]
        self.components = GatewayComponents(*found, clock=clock)
        budgets = RetryBudgets(0.0 if budget == 0 else 1.0, budget)
        coordinators = Coordinators("g1", clock, self.components.events)
        context = AttemptContext(
            PlainHeaderCodec(),
            self.components.loads,
            self.components.health,
            self.components.make_crash_reports(coordinators, lambda *_: None),
            self.components.notices,
            self.components.limits,
            self.components.make_leaving_reports(coordinators, lambda *_: None),
            clock,
            300.0,
        )
        self.dispatcher = Dispatcher(
            context,
            self.components.directory,
            lambda service: self.components.queue,
            budgets,
            self.components.quarantine,
            self.components.request_quarantine,
            clock,
            self.components.events,
        )
        self.clock = clock
        self.sink = RecordingSink()

    async def serve(self, **fields):
        call = make_call(now_ms=self.clock.now_ms(), **fields)
        return await self.dispatcher.serve(call, self.sink)

    async def serve_error(self, **fields):
        with pytest.raises(RequestError) as raised:
            await self.serve(**fields)
        return raised.value

    def quarantine(self, digest):
        clock, quarantine = self.clock, self.components.quarantine
        for number in (1, 2):
            suspect = Suspect(f"s{number}", (digest,))
            crashed_ms = clock.now_ms() - 2_000.0 * number
            quarantine.record_crash(f"x{number}", crashed_ms, [suspect])

    @property
    def is_idle(self):
        loads = self.components.loads
        return all(
            loads.total(e.id).running == 0 and loads.total(e.id).unread_tokens == 0
            for e in self.components.source.endpoints
        )


@contextlib.asynccontextmanager
async def running_dispatcher(*scripts, **options):
    """Run a dispatcher with one scripted endpoint for each list of scripts."""
    async with contextlib.AsyncExitStack() as stack:
        endpoints = [
            await stack.enter_async_context(ScriptedEndpoint(*script).running())
            for script in scripts
        ]
        fixture = DispatcherFixture(*endpoints, **options)
        fixture.endpoints = endpoints
        yield fixture


def runs(fixture):
    return sum(len(endpoint.requests) for endpoint in fixture.endpoints)


def single_bytes(data):
    """Return the steps of a script that send `data` byte by byte."""
    return [step for i in range(len(data)) for step in (data[i : i + 1], 0.002)]


IDEMPOTENT = make_route(kind=RouteKind.IDEMPOTENT, most_endpoints=2)
ONCE = make_route(kind=RouteKind.NON_IDEMPOTENT, most_endpoints=2)
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True, most_endpoints=2)
RESPONSE = [plain_response(b"done")]
RESPONSE_ONLY = [RESPONSE]


async def test_request_is_sent_elsewhere_if_the_address_of_an_endpoint_is_invalid():
    # Guards against a request that fails although another endpoint would serve it.
    async with running_dispatcher([RESPONSE]) as fixture:
        components = fixture.components
        invalid = make_endpoint("e9", "127.0.0.1:99999")
        components.directory.adopt([*components.directory.endpoints, invalid], 0.0)
        begin(components.loads, "e0", "crew-b", tokens=10, cost=10)
        result = await fixture.serve(route=IDEMPOTENT)
        assert result.verdict is Verdict.ANSWERED
        kinds = [record["kind"] for record in components.events.records]
        assert "endpoint-avoided" in kinds


async def test_response_is_forwarded_unchanged():
    async with running_dispatcher(
        [[plain_response(b"body", "201 Created", Seal="s")]]
    ) as fixture:
        result = await fixture.serve()
        assert result.verdict is Verdict.ANSWERED
        assert (fixture.sink.status, fixture.sink.body) == (201, b"body")
        assert fixture.sink.headers["Seal"] == "s"
        assert fixture.is_idle


@pytest.mark.parametrize(
    "fault", [["reset"], ["close"], [b"nonsense\r\n\r\n", "close"], [b"HTTP/1.1 2"]]
)
async def test_request_that_may_have_run_is_not_repeated(fault):
    # Guards against a booking that runs twice, or is reported as not run after a run.
    async with running_dispatcher([fault], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        error = await fixture.serve_error(route=ONCE)
        assert error.status not in NOT_RUN_STATUSES
        assert runs(fixture) == 1
        assert fixture.is_idle


@pytest.mark.parametrize(
    "fault", [["reset"], ["close"], [plain_response(b"", "500 E")]]
)
async def test_idempotent_request_is_repeated_at_another_endpoint(fault):
    async with running_dispatcher([fault], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=IDEMPOTENT)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"done"
        assert runs(fixture) == 2


async def test_refused_non_idempotent_request_is_sent_to_another_endpoint():
    refusal = [plain_response(b"", "503 Busy", Not_Run="1")]
    async with running_dispatcher([refusal], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=ONCE)
        assert result.verdict is Verdict.ANSWERED


async def test_endpoint_that_another_one_replaced_is_avoided():
    # Guards against requests that are refused since the endpoint list is late.
    misdirected = [plain_response(b"", "421 Misdirected", Not_Run="1")]
    async with running_dispatcher([misdirected], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        for _ in range(3):
            result = await fixture.serve(route=ONCE)
            assert result.verdict is Verdict.ANSWERED
        assert len(fixture.endpoints[0].requests) == 1


@pytest.mark.parametrize(
    "response",
    [
        [plain_response(Leaving="1")],
        [stream_head(Leaving="1") + chunk(event(1)) + END_OF_CHUNKS],
        [plain_response(b"", "500 E", Leaving="1")],
        [plain_response(b"", "503 Busy", Not_Run="1", Leaving="1")],
        [plain_response(b"", "421 Misdirected", Leaving="1")],
        [plain_response(Id="other", Leaving="1")],
    ],
)
async def test_endpoint_that_states_that_it_leaves_gets_no_further_request(response):
    # Guards against requests to an endpoint that is still listed as ready.
    async with running_dispatcher([response], RESPONSE_ONLY) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        with contextlib.suppress(RequestError):
            await fixture.serve(route=IDEMPOTENT)
        assert len(fixture.endpoints[0].requests) == 1
        for _ in range(5):
            assert (await fixture.serve(route=ONCE)).verdict is Verdict.ANSWERED
        assert len(fixture.endpoints[0].requests) == 1


PAUSING = [plain_response(b"", "503 Busy", Not_Run="1", Retry_After="5")]
PAUSING_AFTER_RUN = [plain_response(b"", "503 Busy", Retry_After="5")]


@pytest.mark.parametrize("response", [PAUSING, PAUSING_AFTER_RUN])
async def test_endpoint_that_asks_for_a_pause_gets_no_request_meanwhile(response):
    # Guards against requests that an endpoint turned away and gets again at once.
    async with running_dispatcher([response], RESPONSE_ONLY) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        for _ in range(5):
            result = await fixture.serve(route=IDEMPOTENT)
            assert result.verdict is Verdict.ANSWERED
        assert len(fixture.endpoints[0].requests) == 1


async def test_request_is_refused_at_once_while_all_endpoints_pause():
    # Guards against callers that wait, or that are sent back before the pause ends.
    async with running_dispatcher([PAUSING]) as fixture:
        for _ in range(3):
            async with asyncio.timeout(0.3):
                error = await fixture.serve_error(route=ONCE)
            assert (error.status, error.code) == (503, "endpoints-paused")
            assert error.retry_after_ms == 3_000.0
        assert runs(fixture) == 1
        assert fixture.is_idle


async def test_retry_after_of_an_endpoint_reaches_the_caller_of_its_response():
    # Guards against callers that do not learn when the endpoint wants requests again.
    async with running_dispatcher([PAUSING_AFTER_RUN]) as fixture:
        result = await fixture.serve(route=ONCE)
        assert (result.verdict, fixture.sink.status) == (Verdict.ANSWERED, 503)
        assert fixture.sink.headers["Retry-After"] == "5"


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf", "9" * 400])
async def test_endpoint_with_an_unreadable_pause_is_avoided_for_its_backoff(value):
    # Guards against an odd value that ends the request or leaves the endpoint out.
    response = [plain_response(b"", "503 Busy", Not_Run="1", Retry_After=value)]
    async with running_dispatcher([response, RESPONSE], RESPONSE_ONLY) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        assert (await fixture.serve(route=ONCE)).verdict is Verdict.ANSWERED
        endpoints = fixture.components.source.endpoints
        assert fixture.components.notices.paused == frozenset()
        assert "e0" in fixture.components.health.avoided(endpoints)


async def test_retry_after_of_another_status_is_no_pause():
    # Guards against an endpoint that is left out for a delay that concerns one request.
    response = [plain_response(b"", "429 Busy", Retry_After="5")]
    async with running_dispatcher([response]) as fixture:
        for _ in range(2):
            await fixture.serve(route=ONCE)
            assert fixture.sink.status == 429
        assert runs(fixture) == 2


async def test_endpoint_that_pauses_during_the_connect_gets_no_request(monkeypatch):
    # Guards against a burst of which each request was placed before the first response.
    async with running_dispatcher(RESPONSE_ONLY, RESPONSE_ONLY, budget=0) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        connect = Exchange.connect

        async def pause_meanwhile(address, timeouts):
            exchange = await connect(address, timeouts)
            endpoint = fixture.components.source.endpoints[0]
            fixture.components.notices.record_pause(endpoint, 5_000.0)
            return exchange

        monkeypatch.setattr(Exchange, "connect", pause_meanwhile)
        assert (await fixture.serve(route=ONCE)).verdict is Verdict.ANSWERED
        assert [len(e.requests) for e in fixture.endpoints] == [0, 1]
        assert fixture.is_idle


async def test_stream_at_a_leaving_endpoint_goes_on():
    # Guards against running streams that are cut when their endpoint states it leaves.
    script = [stream_head() + chunk(event(1)), 0.2, chunk(event(2)) + END_OF_CHUNKS]
    async with running_dispatcher([script], RESPONSE_ONLY) as fixture:
        running = asyncio.create_task(fixture.serve(route=RESUMABLE))
        await asyncio.sleep(0.1)
        endpoint = fixture.components.source.endpoints[0]
        fixture.components.notices.record_leaving(endpoint, "response")
        assert (await running).verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert runs(fixture) == 1


class ScriptedPlacement:
    """Placement of a coordinator that does not know which endpoints are leaving."""

    def __init__(self, loads, *endpoints):
        self.avoided = []
        self._loads = loads
        self._endpoints = list(endpoints)

    async def place(self, demand):
        self.avoided.append(demand.avoided)
        placement = Placement(self._endpoints.pop(0), 1, coordinator="g2")
        return self._loads.begin(placement, demand)


async def test_leaving_endpoint_that_a_coordinator_chose_gets_no_request():
    # Guards against a lost report, and a retry that is counted for a request not sent.
    names = ["e0", "e1", "e2", "e3", "e4", "e5"]
    scripts = [RESPONSE_ONLY] * len(names)
    async with running_dispatcher(*scripts, budget=0) as fixture:
        endpoints = fixture.components.source.endpoints
        for endpoint in endpoints[:5]:
            fixture.components.notices.record_leaving(endpoint, "response")
        placement = ScriptedPlacement(fixture.components.loads, *names)
        fixture.dispatcher._placement_for = lambda service: placement
        result = await fixture.serve(route=ONCE)
        assert result.verdict is Verdict.ANSWERED
        assert [len(e.requests) for e in fixture.endpoints] == [0, 0, 0, 0, 0, 1]
        assert placement.avoided[-1] == set(names[:5])
        assert fixture.is_idle


async def test_endpoint_that_leaves_during_the_connect_gets_no_request(monkeypatch):
    # Guards against a request that is sent on the word of a check before the connect.
    async with running_dispatcher(RESPONSE_ONLY, RESPONSE_ONLY) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        connect = Exchange.connect

        async def leave_meanwhile(address, timeouts):
            exchange = await connect(address, timeouts)
            endpoint = fixture.components.source.endpoints[0]
            fixture.components.notices.record_leaving(endpoint, "response")
            return exchange

        monkeypatch.setattr(Exchange, "connect", leave_meanwhile)
        assert (await fixture.serve(route=ONCE)).verdict is Verdict.ANSWERED
        assert [len(e.requests) for e in fixture.endpoints] == [0, 1]
        assert fixture.is_idle


async def test_request_waiting_when_all_endpoints_leave_is_refused_at_once():
    # Guards against callers that wait until their time is over.
    async with running_dispatcher(RESPONSE_ONLY) as fixture:
        fixture.components.begin("e0", tokens=9_000)
        waiting = asyncio.create_task(fixture.serve_error(tokens=5_000))
        await asyncio.sleep(0.05)
        endpoint = fixture.components.source.endpoints[0]
        fixture.components.notices.record_leaving(endpoint, "response")
        async with asyncio.timeout(0.2):
            error = await waiting
        assert (error.status, error.code) == (503, "no-endpoint")


async def test_silent_stream_does_not_move_to_an_endpoint_that_is_leaving():
    # Guards against a successor that was reserved before its endpoint stated it leaves.
    stream = [stream_head() + chunk(event(1)), "hang"]
    end = [stream_head() + chunk(event(2)) + END_OF_CHUNKS]
    async with running_dispatcher([stream], RESPONSE_ONLY, [end]) as fixture:
        for name in ("e1", "e2"):
            fixture.components.health.record_failure(name, "the test")
        endpoint = fixture.components.source.endpoints[1]
        placement = ScriptedPlacement(fixture.components.loads, "e0", "e1", "e2")
        fixture.dispatcher._placement_for = lambda service: placement
        running = asyncio.create_task(fixture.serve(route=RESUMABLE))
        await asyncio.sleep(0.3)
        fixture.components.notices.record_leaving(endpoint, "response")
        assert (await running).verdict is Verdict.ANSWERED
        assert [len(e.requests) for e in fixture.endpoints] == [1, 0, 1]
        assert fixture.sink.body == event(1) + event(2)


async def test_request_refused_by_all_endpoints_is_reported_as_not_run():
    refusal = [plain_response(b"", "503 Busy", Not_Run="1")]
    async with running_dispatcher([refusal]) as fixture:
        error = await fixture.serve_error(route=ONCE)
        assert error.status == 503
        assert error.retry_after_ms > 0


@pytest.mark.parametrize(
    "refusal", [{"status": "503 Busy", "Not_Run": "1"}, {"status": "421 Misdirected"}]
)
async def test_refusal_of_another_request_does_not_prove_that_this_one_did_not_run(
    refusal,
):
    stale = [plain_response(b"", Id="r0", **refusal)]
    async with running_dispatcher([stale], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        error = await fixture.serve_error(route=ONCE)
        assert error.status not in NOT_RUN_STATUSES
        assert runs(fixture) == 1
        assert fixture.is_idle


@pytest.mark.parametrize("status", ["400 Bad Request", "421 Misdirected"])
async def test_refusal_without_an_id_is_accepted(status):
    # Guards against a refused request that is given up although it did not run.
    refusal = [plain_response(b"", status, Not_Run="1")]
    async with running_dispatcher([refusal], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=ONCE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"done"


async def test_failed_connect_costs_no_retry_budget():
    async with running_dispatcher([RESPONSE], budget=0) as fixture:
        absent = make_endpoint("e0", "127.0.0.1:1")
        fixture.components.directory._update_list(
            [absent, make_endpoint("e1", fixture.endpoints[0].address)], 0.0
        )
        for _ in range(5):
            result = await fixture.serve(route=ONCE)
            assert result.verdict is Verdict.ANSWERED


async def test_retries_stay_within_the_budget():
    # Guards against retries that multiply the load of failing endpoints.
    async with running_dispatcher([["reset"]], [["reset"]], budget=0) as fixture:
        error = await fixture.serve_error(route=IDEMPOTENT)
        assert error.status == 502
        assert runs(fixture) == 1


async def test_response_to_another_request_is_discarded():
    # Guards against a late response that is sent to the wrong caller.
    crossed = [plain_response(b"not yours", Id="r0")]
    async with running_dispatcher([crossed], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        await fixture.serve(route=IDEMPOTENT)
        assert fixture.sink.body == b"done"


async def test_second_response_after_the_first_is_discarded():
    extra = plain_response(b"done") + plain_response(b"stranger")
    async with running_dispatcher([[extra]]) as fixture:
        await fixture.serve()
        assert fixture.sink.body == b"done"


async def test_booking_that_ran_is_not_repeated_for_an_extra_refusal():
    # Guards against a booking that runs twice, as a refusal follows its response.
    extra = plain_response() + plain_response(b"", "421 Misdirected", Id="r0")
    async with running_dispatcher([[extra]], [[extra]]) as fixture:
        result = await fixture.serve(route=ONCE)
        assert (result.verdict, result.status) == (Verdict.ANSWERED, 200)
        assert runs(fixture) == 1


async def test_failure_is_not_forwarded_with_the_status_of_an_extra_response():
    # Guards against a 200 with the body of a failure.
    extra = plain_response(b"failed", "500 Error") + plain_response(b"stranger")
    async with running_dispatcher([[extra]]) as fixture:
        await fixture.serve(route=ONCE)
        assert (fixture.sink.status, fixture.sink.body) == (500, b"failed")


async def test_booking_is_sent_elsewhere_after_a_response_before_its_request(
    monkeypatch,
):
    # Guards against a booking that is given up, or refused with a status of another.
    connect = Exchange.connect

    async def connect_to_early_responder(address, timeouts):
        exchange = await connect(address, timeouts)
        if address == fixture.endpoints[0].address:
            exchange._reader.data_received(plain_response(b"", "408 Timeout"))
        return exchange

    monkeypatch.setattr(Exchange, "connect", connect_to_early_responder)
    async with running_dispatcher([RESPONSE], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=ONCE)
        assert result.verdict is Verdict.ANSWERED
        assert [len(e.requests) for e in fixture.endpoints] == [0, 1]
        assert fixture.is_idle


async def test_truncated_response_is_not_reported_complete():
    cut = plain_response(b"0123456789")[:-4]
    async with running_dispatcher([[cut, "close"]]) as fixture:
        result = await fixture.serve()
        assert result.verdict in (Verdict.BROKEN_OFF, Verdict.MAY_HAVE_RUN)
        assert not fixture.sink.finished


@pytest.mark.parametrize("method", ["POST", "HEAD"])
@pytest.mark.parametrize(
    "cut",
    [
        b"HTTP/1.1 200 OK\r\nSeal: s\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nSeal: s\r\n",
        b"HTTP/1.1 204 No Content\r\nSeal: s\r\n",
    ],
)
async def test_answer_that_ends_inside_its_head_is_not_forwarded(cut, method):
    # Guards against a 200 with an empty body that looks complete.
    async with running_dispatcher([[cut, "close"]]) as fixture:
        error = await fixture.serve_error(route=ONCE, method=method)
        assert error.status == 502
        assert fixture.sink.status == 0
        assert fixture.is_idle


@pytest.mark.parametrize("cut", [plain_response()[:-4], stream_head() + b"5\r"])
async def test_answer_that_ends_before_its_body_is_not_reported_complete(cut):
    async with running_dispatcher([[cut, "close"]]) as fixture:
        error = await fixture.serve_error(route=ONCE)
        assert error.status == 502
        assert not fixture.sink.started


async def test_started_response_is_not_continued_by_another_run():
    # Guards against a body composed of two runs: in a benchmark, this happened when an
    # endpoint crashed during the response to an idempotent request.
    cut = plain_response(b"0123456789")[:-4]
    async with running_dispatcher([[cut, 0.05, "reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=IDEMPOTENT)
        assert result.verdict is Verdict.BROKEN_OFF
        assert runs(fixture) == 1
        assert fixture.sink.body == b"012345"


async def test_stream_without_event_ids_is_not_resumed():
    first = stream_head() + chunk(b"data: t\n\n")
    async with running_dispatcher([[first, 0.05, "reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.BROKEN_OFF
        assert runs(fixture) == 1


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


async def test_response_without_length_ends_with_its_connection():
    async with running_dispatcher(
        [[UNFRAMED + b"abc", 0.05, b"def", "close"]]
    ) as fixture:
        result = await fixture.serve()
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"abcdef"


async def test_response_without_length_that_is_reset_is_not_complete():
    async with running_dispatcher([[UNFRAMED + b"abc", 0.05, "reset"]]) as fixture:
        result = await fixture.serve()
        assert result.verdict is Verdict.BROKEN_OFF


UNFRAMED_STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
STREAM = make_route(kind=RouteKind.STREAM)


@pytest.mark.parametrize("route", [STREAM, RESUMABLE])
@pytest.mark.parametrize(
    "cut",
    [
        b"id: 2",
        b"id: 2\ndata: t2",
        b"id: 2\ndata: t2\n",
        b"id: 2\r\ndata: t2\r\n",
        b"id: 2\r\ndata: t2\r\n\r",
        b": comment",
        b": comment\n",
    ],
)
async def test_stream_whose_connection_ends_inside_an_event_is_broken_off(cut, route):
    # Guards against an endpoint that ends in the middle of an event and looks complete.
    script = [UNFRAMED_STREAM + event(1), 0.02, *single_bytes(cut), "close"]
    async with running_dispatcher([script], budget=0) as fixture:
        result = await fixture.serve(route=route)
        assert result.verdict is Verdict.BROKEN_OFF
        assert fixture.sink.body.startswith(event(1))
        assert fixture.is_idle


@pytest.mark.parametrize("route", [STREAM, RESUMABLE])
@pytest.mark.parametrize(
    "end",
    [
        b"",
        b"data: [DONE]\n\n",
        b"id: 2\r\ndata: t2\r\n\r\n",
        b"id: 2\rdata: t2\r\r",
        b": comment\n\n",
        b"\n",
        b"\n\n",
    ],
)
async def test_stream_whose_connection_ends_after_an_event_is_complete(end, route):
    # Guards against whole streams that are broken off, wherever their chunks begin.
    script = [UNFRAMED_STREAM + event(1)[:-1], 0.02, b"\n", *single_bytes(end)]
    async with running_dispatcher([[*script, "close"]]) as fixture:
        result = await fixture.serve(route=route)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + end


@pytest.mark.parametrize("route", [STREAM, RESUMABLE])
async def test_stream_whose_connection_ends_before_its_first_event_is_no_answer(route):
    # Guards against the empty answer of an endpoint that crashes at its first event.
    async with running_dispatcher([[UNFRAMED_STREAM, "close"]], budget=0) as fixture:
        error = await fixture.serve_error(route=route)
        assert error.status == 502
        assert not fixture.sink.started


async def test_stream_whose_connection_ended_inside_an_event_is_resumed():
    first = UNFRAMED_STREAM + event(1) + b"id: 2\nda"
    second = UNFRAMED_STREAM + event(2) + event(3)
    async with running_dispatcher([[first, "close"]], [[second, "close"]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2) + event(3)
        assert b"Last-Event-Id: 1" in fixture.endpoints[1].requests[0]


async def test_answer_to_head_without_a_length_is_complete():
    # Guards against a whole answer without a body that counts as a broken stream.
    async with running_dispatcher([[UNFRAMED_STREAM, "close"]]) as fixture:
        result = await fixture.serve(route=STREAM, method="HEAD", body=b"")
        assert result.verdict is Verdict.ANSWERED


def framed_stream(framing, body):
    if framing == "length":
        return plain_response(body, **EVENT_STREAM)
    return stream_head() + (chunk(body) if body else b"") + END_OF_CHUNKS


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("route", [STREAM, RESUMABLE])
@pytest.mark.parametrize("whole", [b"", event(1)])
@pytest.mark.parametrize(
    "cut", [b"id: 2\ndata: t2", b"id: 2\ndata: t2\n", b"id", b": comment\n"]
)
async def test_framed_stream_that_ends_inside_an_event_is_no_answer(
    framing, route, whole, cut
):
    # Guards against half an event that reaches the caller as a complete 200.
    script = framed_stream(framing, whole + cut)
    async with running_dispatcher([[script]], budget=0) as fixture:
        if whole or route is STREAM:
            result = await fixture.serve(route=route)
            assert result.verdict is Verdict.BROKEN_OFF
            # A caller that got the length would take the response for complete.
            assert "Content-Length" not in fixture.sink.headers
        else:
            assert (await fixture.serve_error(route=route)).status == 502
        shown = whole if route is RESUMABLE else whole + cut
        assert fixture.sink.body == shown
        assert not fixture.sink.finished
        assert fixture.is_idle


@pytest.mark.parametrize("framing", ["length", "chunks"])
async def test_framed_stream_that_ended_inside_an_event_is_resumed(framing):
    first = framed_stream(framing, event(1) + b"id: 2\nda")
    second = framed_stream(framing, event(2) + event(3))
    async with running_dispatcher([[first]], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2) + event(3)
        assert b"Last-Event-Id: 1" in fixture.endpoints[1].requests[0]


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("route", [STREAM, RESUMABLE])
@pytest.mark.parametrize("body", [b"", event(1), event(1) + b"\n", b": comment\n\n"])
async def test_framed_stream_that_ends_after_an_event_is_complete(framing, route, body):
    # Guards against whole streams that are broken off, also those without an event.
    async with running_dispatcher([[framed_stream(framing, body)]]) as fixture:
        result = await fixture.serve(route=route)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == body


async def test_broken_stream_is_resumed_at_another_endpoint_without_gap():
    # Guards against events that are lost, repeated or truncated where a stream resumes.
    first = stream_head() + b"".join(chunk(event(n)) for n in (1, 2)) + chunk(b"id: 3")
    second = stream_head() + b"".join(chunk(event(n)) for n in (3, 4)) + END_OF_CHUNKS
    async with running_dispatcher([[first, 0.05, "reset"]], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"".join(event(n) for n in (1, 2, 3, 4))
        assert b"Last-Event-Id: 2" in fixture.endpoints[1].requests[0]


ERROR_TEXT = b'{"error": "overloaded"}'
ERROR_HEAD = b"HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\nfailed\n\n"
EVENT_STREAM = {"Content_Type": "text/event-stream"}


@pytest.mark.parametrize(
    "second",
    [
        plain_response(ERROR_TEXT, "500 Error"),
        plain_response(ERROR_TEXT, "503 Busy", Not_Run="1"),
        plain_response(ERROR_TEXT, "404 Not Found", **EVENT_STREAM),
        plain_response(event(2), "206 Partial Content", **EVENT_STREAM),
        plain_response(ERROR_TEXT, Content_Type="application/json"),
        plain_response(event(2), Content_Type="text/plain"),
        plain_response(event(2)),
        plain_response(ERROR_TEXT, **EVENT_STREAM),
        stream_head() + chunk(ERROR_TEXT) + END_OF_CHUNKS,
        plain_response(b"data: half", **EVENT_STREAM),
    ],
)
async def test_answer_that_is_no_continuation_is_not_appended_to_a_broken_stream(
    second,
):
    first = stream_head() + chunk(event(1)) + chunk(b"id: 2")
    async with running_dispatcher([[first, 0.05, "reset"]], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        with contextlib.suppress(RequestError):
            result = await fixture.serve(route=RESUMABLE)
            assert result.verdict is not Verdict.ANSWERED
        assert fixture.sink.body == event(1)
        assert runs(fixture) == 2
        assert fixture.is_idle


async def test_stream_is_resumed_at_a_third_endpoint_after_an_error_of_the_second():
    route = make_route(kind=RouteKind.STREAM, resumable=True, most_endpoints=3)
    first = stream_head() + chunk(event(1)) + chunk(b"id: 2")
    error = plain_response(ERROR_TEXT, **EVENT_STREAM)
    third = stream_head() + chunk(event(2)) + END_OF_CHUNKS
    async with running_dispatcher(
        [[first, 0.05, "reset"]], [[error]], [[third]]
    ) as fixture:
        fixture.components.health.record_failure("e2", "the test")
        fixture.components.health.record_failure("e2", "the test")
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=route)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert b"Last-Event-Id: 1" in fixture.endpoints[2].requests[0]
        assert runs(fixture) == 3


@pytest.mark.parametrize(
    "body",
    [
        b"".join(chunk(event(n)) for n in (1, 2, 3)),
        chunk(event(2)) + chunk(event(3)),
        chunk(b"data: extra\n\n" + event(1) + event(2) + event(3)),
        chunk(ERROR_HEAD),
        chunk(ERROR_TEXT + b"\n\n" + event(3)),
    ],
)
async def test_stream_that_does_not_continue_after_the_last_event_is_broken_off(body):
    # Guards against events that come twice, and pieces of two runs in one stream.
    first = stream_head() + chunk(event(1)) + chunk(event(2)) + chunk(b"id: 3")
    second = stream_head() + body + END_OF_CHUNKS
    async with running_dispatcher([[first, 0.05, "reset"]], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.BROKEN_OFF
        assert fixture.sink.body == event(1) + event(2)
        assert fixture.is_idle


async def test_resumed_stream_is_not_framed_by_the_length_of_its_first_answer():
    # Guards against a caller that waits for bytes of an answer that is replaced, or
    # takes the surplus for its next answer.
    body = event(1) + event(2)
    cut = plain_response(body, **EVENT_STREAM)[: -len(event(2))]
    second = stream_head() + chunk(b"id: 2\ndata: longer\n\n") + END_OF_CHUNKS
    async with running_dispatcher([[cut, 0.05, "reset"]], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + b"id: 2\ndata: longer\n\n"
        assert "Content-Length" not in fixture.sink.headers


async def test_answer_to_head_keeps_its_length_on_a_resumable_route():
    head = plain_response(b"x" * 9, **EVENT_STREAM)[:-9]
    async with running_dispatcher([[head]]) as fixture:
        result = await fixture.serve(route=RESUMABLE, method="HEAD", body=b"")
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.headers["Content-Length"] == "9"


async def test_stalled_stream_that_sendssingle_bytes_is_resumed():
    # Guards against a stalled stream that never ends since a byte arrives now and then.
    bytes_of_event = [chunk(b"d"), 0.2] * 30
    first = [stream_head() + chunk(event(1)), *bytes_of_event, "hang"]
    second = stream_head() + chunk(event(2)) + END_OF_CHUNKS
    async with running_dispatcher([first], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        async with asyncio.timeout(4.0):
            result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert fixture.is_idle


async def test_slow_stream_with_whole_events_is_not_cut():
    # Guards against sound streams that are resumed elsewhere because they are slow.
    first = [stream_head() + chunk(event(1))]
    for number in range(2, 5):
        content = chunk(event(number))
        first += [0.4, content[:9], 0.3, content[9:]]
    first.append(END_OF_CHUNKS)
    async with running_dispatcher([first], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"".join(event(n) for n in (1, 2, 3, 4))
        assert runs(fixture) == 1


async def test_silent_stream_is_not_cut_without_retry_budget():
    # Guards against a sound stream that is cut since it paused and cannot be resumed.
    first = [stream_head() + chunk(event(1)), 1.6, chunk(event(2)) + END_OF_CHUNKS]
    async with running_dispatcher([first], [RESPONSE], budget=0) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert runs(fixture) == 1
        assert fixture.is_idle


async def test_silent_stream_is_not_cut_at_its_last_permitted_endpoint():
    # Guards against a resumed stream that is cut since it paused once more.
    first = stream_head() + chunk(event(1))
    second = [stream_head() + chunk(event(2)), 1.6, chunk(event(3)) + END_OF_CHUNKS]
    async with running_dispatcher([[first, 0.05, "reset"]], [second]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2) + event(3)


async def test_silent_stream_is_not_cut_while_no_other_endpoint_has_room():
    # Guards against a sound stream that is given up before another endpoint takes it.
    first = [stream_head() + chunk(event(1)), 1.6, chunk(event(2)) + END_OF_CHUNKS]
    async with running_dispatcher([first]) as fixture:
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert runs(fixture) == 1
        assert fixture.is_idle


@pytest.mark.parametrize(
    "other",
    [
        plain_response(b"", "503 Busy", Not_Run="1"),
        plain_response(b"", "500 Error"),
        plain_response(b"", "421 Misdirected"),
        plain_response(b"no stream"),
        "reset",
        "hang",
    ],
    ids=["full", "error", "replaced", "no stream", "reset", "silent"],
)
async def test_silent_stream_is_not_cut_for_an_endpoint_that_does_not_take_it(other):
    # Guards against a sound stream that is given up for a refusal (review/3).
    first = [stream_head() + chunk(event(1)), 2.6, chunk(event(2)) + END_OF_CHUNKS]
    async with running_dispatcher([first], [[other]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert runs(fixture) == 2
        assert fixture.is_idle


async def test_stream_that_pauses_repeatedly_reaches_no_further_endpoint():
    # Guards against a request that runs at more endpoints than its route permits.
    first = [stream_head() + chunk(event(1))]
    for number in (2, 3):
        first += [3.0, chunk(event(number))]
    first.append(END_OF_CHUNKS)
    other = [["hang"]]
    async with running_dispatcher([first], other, other) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        fixture.components.health.record_failure("e2", "the test")
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2) + event(3)
        assert runs(fixture) == 2
        assert fixture.is_idle


async def test_silent_stream_moves_after_an_unexpected_error_of_a_reservation():
    # Guards against a silent stream that stays where it is after one failed placement.
    first = [stream_head() + chunk(event(1)), "hang"]
    second = stream_head() + chunk(event(2)) + END_OF_CHUNKS
    async with running_dispatcher([first], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        queue = fixture.components.queue
        place, calls = queue.place, itertools.count(1)

        async def fail_once(demand):
            if next(calls) == 2:
                raise RuntimeError("a fault of the test")
            return await place(demand)

        queue.place = fail_once
        result = await fixture.serve(route=RESUMABLE)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == event(1) + event(2)
        assert fixture.is_idle


async def test_late_response_is_forwarded_when_no_retry_is_possible():
    # Guards against an error in place of an answer that an endpoint was working on.
    route = make_route(kind=RouteKind.IDEMPOTENT, most_endpoints=2, objective_ms=100)
    async with running_dispatcher(
        [[0.8, plain_response(b"late")]], [RESPONSE], budget=0
    ) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=route)
        assert result.verdict is Verdict.ANSWERED
        assert fixture.sink.body == b"late"
        assert runs(fixture) == 1


async def test_time_limit_releases_the_load_of_a_silent_stream():
    # Guards against load that stays counted when a silent request ends while waiting.
    first = [stream_head() + chunk(event(1)), "hang"]
    async with running_dispatcher([first]) as fixture:
        result = await fixture.serve(route=RESUMABLE, limit_ms=1_800)
        assert result.verdict is Verdict.BROKEN_OFF
        await asyncio.sleep(0.05)
        assert fixture.is_idle


async def test_broken_stream_that_cannot_be_resumed_is_broken_off():
    first = stream_head() + chunk(event(1))
    async with running_dispatcher([[first, 0.05, "reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=make_route(most_endpoints=2))
        assert result.verdict is Verdict.BROKEN_OFF
        assert runs(fixture) == 1


async def test_repeatable_request_leaves_a_silent_endpoint():
    route = make_route(kind=RouteKind.IDEMPOTENT, most_endpoints=2, objective_ms=100)
    async with running_dispatcher([["hang"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=route)
        assert result.verdict is Verdict.ANSWERED


async def serve_until_ended(fixture, **fields):
    task = asyncio.create_task(fixture.serve(**fields))
    await asyncio.sleep(0.1)
    fixture.dispatcher.end_requests()
    return await task


async def test_stopping_gateway_answers_a_request_at_a_silent_endpoint():
    # Guards against a connection that a stopping gateway closes without an answer.
    async with running_dispatcher([["hang"]]) as fixture:
        with pytest.raises(RequestError) as raised:
            await serve_until_ended(fixture, route=ONCE)
        assert (raised.value.status, raised.value.step) == (502, "draining")
        assert fixture.is_idle


async def test_stopping_gateway_refuses_a_waiting_request():
    # Guards against a waiting request that a stopping gateway drops without an answer.
    async with running_dispatcher([["hang"]]) as fixture:
        fixture.components.queue.place = lambda demand: asyncio.sleep(60)
        with pytest.raises(RequestError) as raised:
            await serve_until_ended(fixture, route=ONCE)
        assert (raised.value.status, raised.value.step) == (503, "draining")
        assert runs(fixture) == 0


async def test_stopping_gateway_breaks_off_a_started_response():
    # Guards against a truncated response that looks complete.
    first = [stream_head() + chunk(event(1)), "hang"]
    async with running_dispatcher([first]) as fixture:
        result = await serve_until_ended(fixture, route=RESUMABLE)
        assert (result.verdict, result.reason) == (Verdict.BROKEN_OFF, "draining")


async def test_time_limit_ends_a_running_request():
    # Guards against requests that run past the time limit of their route.
    async with running_dispatcher([["hang"]]) as fixture:
        started_ms = fixture.clock.now_ms()
        error = await fixture.serve_error(route=make_route(time_limit_ms=200))
        assert error.status == 504
        assert fixture.clock.now_ms() - started_ms < 500
        assert fixture.is_idle


async def test_disconnect_of_the_caller_closes_the_endpoint_connection():
    async with running_dispatcher([["hang"]]) as fixture:
        task = asyncio.create_task(fixture.serve())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.1)
        assert fixture.endpoints[0].disconnects == 1
        assert fixture.is_idle


async def test_retry_after_lies_within_the_deadline():
    # Guards against a Retry-After that ends after the caller's deadline.
    async with running_dispatcher([plain_response()]) as fixture:
        fixture.components.begin("e0", tokens=9_000)
        route = make_route(objective_ms=100)
        error = await fixture.serve_error(tokens=5_000, route=route, limit_ms=600)
    assert error.status == 503
    assert 0 < error.retry_after_ms <= 300


PROMPT = (("aa", 100), ("bb", 50), ("own", 30))


async def test_request_that_may_have_crashed_its_endpoint_is_not_repeated():
    # Guards against a prompt that crashes one endpoint after the other.
    async with running_dispatcher([["stop", "reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        error = await fixture.serve_error(route=RESUMABLE, prefix=PROMPT)
        assert error.status == 502
        assert runs(fixture) == 1
        assert fixture.is_idle


async def test_endpoint_freed_during_the_probe_gets_no_suspected_request(monkeypatch):
    # Guards against a reservation that completes while a crash is examined.
    probe = CrashReports._probe

    async def probe_slowly(reports, endpoint):
        await asyncio.sleep(0.3)
        return await probe(reports, endpoint)

    monkeypatch.setattr(CrashReports, "_probe", probe_slowly)
    async with running_dispatcher([[0.6, "stop", "reset"]], [RESPONSE]) as fixture:
        fixture.components.begin("e1", tokens=9_000)
        route = RESUMABLE.model_copy(update={"objective_ms": 100})
        task = asyncio.create_task(fixture.serve_error(route=route, prefix=PROMPT))
        await asyncio.sleep(0.7)
        fixture.components.loads.end_prefill("e1", 9_000)
        fixture.components.loads.end("e1")
        fixture.components.queue.place_waiting_soon()
        assert (await task).status == 502
        assert runs(fixture) == 1
        assert fixture.is_idle


async def test_request_with_a_sound_prompt_is_repeated_after_a_crash():
    # Guards against sound requests that fail since they were at a crashed endpoint.
    async with running_dispatcher([["stop", "reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        fixture.components.quarantine.record_sound(["aa", "bb"])
        result = await fixture.serve(route=RESUMABLE, prefix=PROMPT)
        assert result.verdict is Verdict.ANSWERED


async def test_request_is_repeated_after_a_reset_of_its_connection_only():
    # Guards against prompts that are suspected although no endpoint crashed.
    async with running_dispatcher([["reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE, prefix=PROMPT)
        assert result.verdict is Verdict.ANSWERED
        assert not fixture.components.quarantine.crashes


async def test_prompt_that_began_before_the_crash_is_not_suspected():
    first = stream_head() + b"".join(chunk(event(n)) for n in (1, 2))
    rest = [0.05, chunk(event(3)), 0.05, "stop", "reset"]
    second = stream_head() + chunk(event(4)) + END_OF_CHUNKS
    async with running_dispatcher([[first, *rest]], [[second]]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        result = await fixture.serve(route=RESUMABLE, prefix=PROMPT)
        assert result.verdict is Verdict.ANSWERED
        assert not fixture.components.quarantine.unproven(["aa", "bb"])


@pytest.mark.parametrize("status", ["400 Bad Request", "500 Internal Server Error"])
async def test_error_response_does_not_prove_a_prompt_sound(status):
    # Guards against a deadly prompt that is released by an error of an endpoint.
    async with running_dispatcher([[plain_response(status=status)]]) as fixture:
        await fixture.serve(route=ONCE, prefix=PROMPT)
        assert fixture.components.quarantine.unproven(["aa", "bb"]) == ("aa", "bb")


async def test_crash_within_the_first_event_makes_the_prompt_suspected():
    # Guards against a prompt that counts as sound since a part of an event arrived.
    first = [stream_head() + b"9\r\nid: 1", 0.05, b"\ndat\r\n", 0.05]
    async with running_dispatcher([[*first, "stop", "reset"]]) as fixture:
        await fixture.serve_error(route=RESUMABLE, prefix=PROMPT)
        (crash,) = fixture.components.quarantine.crashes
        assert crash.suspects["r1"].digests == ("aa", "bb")


async def test_crash_soon_after_the_first_events_makes_the_prompt_suspected():
    # Guards against engines that crash after two events without end (review/2).
    first = stream_head() + chunk(event(1))
    script = [first, 0.02, chunk(event(2)), 0.02, "stop", "reset"]
    async with running_dispatcher([script], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        await fixture.serve(route=RESUMABLE, prefix=PROMPT)
        (crash,) = fixture.components.quarantine.crashes
        assert crash.suspects["r1"].digests == ("aa", "bb")


async def test_comments_before_a_crash_do_not_prove_a_prompt_sound():
    # Guards against a deadly prompt whose endpoint sent comments while it computed.
    comment = chunk(b": wait\n\n")
    script = [stream_head() + comment, 0.05, comment, 0.05, "stop", "reset"]
    async with running_dispatcher([script]) as fixture:
        result = await fixture.serve(route=RESUMABLE, prefix=PROMPT)
        assert result.is_suspect


async def test_quarantined_prompt_reaches_no_endpoint():
    async with running_dispatcher([RESPONSE]) as fixture:
        fixture.quarantine("bb")
        error = await fixture.serve_error(prefix=PROMPT)
        assert (error.status, error.code) == (503, "prompt-quarantined")
        assert runs(fixture) == 0
        result = await fixture.serve(prefix=(("aa", 100), ("own", 30)))
        assert result.verdict is Verdict.ANSWERED


def end_quarantine(fixture, digest):
    """Let the next request with a part be the trial after its quarantine."""
    crashed_ms = fixture.clock.now_ms() - 70_000.0
    known = KnownQuarantine(frozenset([digest]), crashed_ms, 60_000.0)
    fixture.components.quarantine.adopt(known)


async def serve_beside_a_trial(fixture):
    """Return the results of a trial and of a request that comes during it."""
    end_quarantine(fixture, "bad")
    prefix = (("bad", 100), ("own", 30))
    trial = asyncio.create_task(fixture.serve(route=ONCE, prefix=prefix))
    await asyncio.sleep(0.1)
    call = make_call(
        now_ms=fixture.clock.now_ms(), route=ONCE, prefix=prefix, request_id="r2"
    )
    second = fixture.dispatcher.serve(call, RecordingSink())
    return await asyncio.gather(trial, second, return_exceptions=True)


async def test_request_waits_for_the_result_of_a_trial():
    # Guards against requests with a sound part that are refused during its trial.
    script = [0.4, plain_response(b"done")]
    async with running_dispatcher([script]) as fixture:
        trial, second = await serve_beside_a_trial(fixture)
        assert trial.verdict is second.verdict is Verdict.ANSWERED
        assert fixture.is_idle


async def test_request_is_refused_when_the_trial_crashes_its_endpoint():
    # Guards against a trial after which the requests that waited crash endpoints.
    script = [0.4, "stop", "reset"]
    async with running_dispatcher([script], [script]) as fixture:
        _, second = await serve_beside_a_trial(fixture)
        assert (second.status, second.code) == (503, "prompt-quarantined")
        assert second.retry_after_ms > 60_000.0
        assert runs(fixture) == 1
        assert fixture.is_idle


async def test_prompt_quarantined_while_its_request_waits_reaches_no_endpoint():
    # Guards against requests in the queue that crash further endpoints.
    async with running_dispatcher([RESPONSE]) as fixture:
        fixture.components.begin("e0", tokens=9_000)
        task = asyncio.create_task(fixture.serve_error(prefix=PROMPT))
        await asyncio.sleep(0.05)
        fixture.quarantine("bb")
        fixture.components.loads.end_prefill("e0", 9_000)
        fixture.components.loads.end("e0")
        error = await task
        assert (error.status, error.code) == (503, "prompt-quarantined")
        assert runs(fixture) == 0
        assert fixture.is_idle


CRASH = [[stream_head(), 0.02, "stop", "reset"]]


@pytest.mark.parametrize("prefix", [PROMPT, ()])
async def test_request_that_crashed_two_endpoints_reaches_no_third(prefix):
    # Guards against a request with sound parts, or none, that crashes all endpoints.
    async with running_dispatcher(CRASH, CRASH, CRASH) as fixture:
        fixture.components.quarantine.record_sound(["aa", "bb"])
        error = await fixture.serve_error(route=RESUMABLE, prefix=prefix)
        assert error.status == 502
        assert runs(fixture) == 2
        error = await fixture.serve_error(
            route=RESUMABLE, prefix=prefix, request_id="r2"
        )
        assert (error.status, error.code) == (503, "request-quarantined")
        assert error.retry_after_ms > 50_000
        assert runs(fixture) == 2
        assert fixture.is_idle


async def test_request_like_a_quarantined_one_is_served():
    # Guards against a quarantine of the team, the path or the parts of a request.
    async with running_dispatcher([RESPONSE]) as fixture:
        call = make_call(prefix=PROMPT)
        for number in (1, 2):
            crashed_ms = fixture.clock.now_ms() - 2_000.0 * number
            fixture.components.request_quarantine.record_crash(
                f"x{number}", crashed_ms, [(call.identity, f"s{number}")]
            )
        error = await fixture.serve_error(prefix=PROMPT)
        assert error.code == "request-quarantined"
        result = await fixture.serve(prefix=PROMPT, body=b"{ }")
        assert result.verdict is Verdict.ANSWERED


async def test_crash_after_the_first_events_makes_the_request_a_candidate():
    # Guards against a request that counts as sound since its first events arrived.
    events = stream_head() + chunk(event(1)), chunk(event(2))
    async with running_dispatcher([[*events, "stop", "reset"]]) as fixture:
        fixture.components.quarantine.record_sound(["aa", "bb"])
        await fixture.serve(route=ONCE, prefix=PROMPT)
        await asyncio.sleep(0.05)
        call = make_call(prefix=PROMPT)
        assert fixture.components.request_quarantine.is_candidate(call.identity)


@pytest.mark.parametrize(
    ("status", "is_candidate"), [("200 OK", False), ("500 Internal Server Error", True)]
)
async def test_complete_response_clears_a_candidate_and_an_error_does_not(
    status, is_candidate
):
    # Guards against a crashing request that is released by an error of an endpoint.
    async with running_dispatcher([[plain_response(status=status)]]) as fixture:
        requests = fixture.components.request_quarantine
        identity = make_call().identity
        requests.record_crash("x1", fixture.clock.now_ms(), [(identity, "s1")])
        await fixture.serve(route=ONCE)
        assert requests.is_candidate(identity) is is_candidate


async def test_refused_request_is_not_sent_again_during_a_drain():
    # Guards against a request that is sent so late that the drain cuts it off.
    refusal = [0.1, plain_response(b"", "503 Full", Not_Run="1")]
    async with running_dispatcher([refusal], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        refused = asyncio.create_task(fixture.serve_error(route=ONCE))
        await asyncio.sleep(0.05)
        fixture.dispatcher.begin_drain(fixture.clock.now_ms() + 5_000.0)
        error = await refused
        assert (error.status, error.code, runs(fixture)) == (503, "draining", 1)
        assert fixture.is_idle


async def test_repetition_during_a_drain_gets_the_time_that_is_left_of_it():
    # Guards against an endpoint that works on after the gateway has stopped.
    async with running_dispatcher([[0.1, "reset"]], [RESPONSE]) as fixture:
        fixture.components.health.record_failure("e1", "the test")
        repeated = asyncio.create_task(fixture.serve(route=IDEMPOTENT))
        await asyncio.sleep(0.05)
        fixture.dispatcher.begin_drain(fixture.clock.now_ms() + 5_000.0)
        assert (await repeated).verdict is Verdict.ANSWERED
        deadlines = [
            int(endpoint.requests[0].partition(b"Deadline: ")[2].split()[0])
            for endpoint in fixture.endpoints
        ]
        assert deadlines[0] > 14_000
        assert deadlines[1] <= 5_000


@pytest.mark.parametrize("code", ["prompt-quarantined", "request-quarantined"])
async def test_refusal_of_the_coordinator_states_the_rest_of_a_quarantine(code):
    # Guards against callers that come back again and again while they are refused.
    class Coordinator:
        async def place(self, demand):
            raise quarantine_error(55_000.0, code)

    async with running_dispatcher([RESPONSE]) as fixture:
        fixture.dispatcher._placement_for = lambda service: Coordinator()
        error = await fixture.serve_error()
        assert (error.code, error.retry_after_ms) == (code, 55_000.0)


async def test_response_that_ends_as_its_request_moves_is_not_passed_on_empty(
    monkeypatch,
):
    # Guards against a complete response without the body that the endpoint sent.
    script = [0.6, plain_response(b"done")]
    async with running_dispatcher([script], [script]) as fixture:
        has_response = asyncio.Event()
        data_received = _ResponseReader.data_received

        def receive(reader, data):
            data_received(reader, data)
            has_response.set()

        class LatePlacement(ScriptedPlacement):
            async def place(self, demand):
                if demand.avoided:
                    await has_response.wait()
                return await super().place(demand)

        monkeypatch.setattr(_ResponseReader, "data_received", receive)
        placement = LatePlacement(fixture.components.loads, "e0", "e1")
        fixture.dispatcher._placement_for = lambda service: placement
        route = make_route(
            kind=RouteKind.IDEMPOTENT, most_endpoints=2, objective_ms=100
        )
        result = await fixture.serve(route=route)
        assert (result.verdict, fixture.sink.body) == (Verdict.ANSWERED, b"done")
        assert fixture.is_idle


async def test_request_withheld_for_a_pause_is_sent_when_the_pause_has_ended(
    monkeypatch,
):
    # Guards against a request that is refused beside an idle endpoint.
    async with running_dispatcher(RESPONSE_ONLY, RESPONSE_ONLY) as fixture:
        fixture.components.begin("e1", tokens=9_000)
        connect = Exchange.connect
        pauses_ms = [100.0]

        async def pause_meanwhile(address, timeouts):
            exchange = await connect(address, timeouts)
            endpoint = fixture.components.source.endpoints[0]
            if pauses_ms:
                fixture.components.notices.record_pause(endpoint, pauses_ms.pop())
            return exchange

        monkeypatch.setattr(Exchange, "connect", pause_meanwhile)
        result = await fixture.serve(route=ONCE, tokens=5_000)
        assert result.verdict is Verdict.ANSWERED
        assert [len(e.requests) for e in fixture.endpoints] == [1, 0]


async def test_limit_holds_until_a_response_names_none():
    """Guards against a limit that is not noticed, or that never ends."""
    server = ScriptedEndpoint(
        [plain_response(Id="r1", Limit="50")],
        [plain_response(Id="r1", Limit="none")],
        [plain_response(Id="r1")],
    )
    async with server.running():
        fixture = DispatcherFixture(server)
        for is_limited in (True, True, False):
            await fixture.serve()
            assert fixture.components.queue.is_limited() is is_limited
