"""Load generation and calls that run concurrently with a test."""

import json
import threading
from collections import Counter
from collections.abc import Callable
from typing import Any

from localfleet import MODEL_SERVICE, token_of


class Load:
    """One run of the ``load`` command on a fleet; `finish` waits for its end."""

    def __init__(self, fleet, teams, **fields: Any):
        settings = {
            "routers": [unit.listen_address for unit in fleet.of_role("router")],
            "service": MODEL_SERVICE,
            "requests": 20_000,
            "teams": [{"token": token_of(team["name"]), **team} for team in teams],
        }
        path = fleet.write_toml("load", settings | fields)
        self._process = fleet.popen("load", f"--settings={path}", "--json")

    def finish(self) -> dict[str, Any]:
        """Wait for the end and return the report."""
        output, errors = self._process.communicate(timeout=60)
        assert self._process.returncode == 0, errors + output
        return json.loads(output)

    def outcomes(self) -> Counter[str]:
        """Wait for the end and return the outcomes of all teams."""
        total: Counter[str] = Counter()
        for team in self.finish()["teams"]:
            total.update(team["outcomes"])
        return total


class BackgroundCall:
    """One call in a thread of its own; `result` waits for it."""

    def __init__(self, function: Callable[..., Any], *arguments: Any, **named: Any):
        self._value: Any = None
        self._error: Exception | None = None
        self._thread = threading.Thread(
            target=self._run, args=(function, arguments, named), daemon=True
        )
        self._thread.start()

    @property
    def has_ended(self) -> bool:
        """Whether the call has returned or raised."""
        return not self._thread.is_alive()

    def result(self, timeout_s: float = 20.0) -> Any:
        """Return what the call returned, or raise what it raised."""
        self._thread.join(timeout_s)
        assert not self._thread.is_alive(), (
            f"the call has not ended within {timeout_s:g} s"
        )
        if self._error is not None:
            raise self._error
        return self._value

    def _run(self, function, arguments, named) -> None:
        try:
            self._value = function(*arguments, **named)
        except Exception as error:
            self._error = error
