import json

from standin_builders import fetch, send

from bulrushbend.standins.application import BookingApplication
from bulrushbend.standins.platform import Platform
from bulrushbend.standins.settings import (
    ApplicationSettings,
    ListedVm,
    PlatformSettings,
)


async def test_runs_are_counted_per_key():
    application = BookingApplication(ApplicationSettings(default_cost_ms=0))
    application.start()
    address = application.server.address
    for _ in range(2):
        call = {"x_nonce": "n"}
        status, body = await fetch(
            address, "POST", "/bookings", call, Idempotency_Key="k"
        )
    _, counts = await fetch(address, "GET", "/runs?key=k")
    application.stop()
    assert status == 200
    assert json.loads(body)["begin"] == json.loads(body)["end"] == "n"
    assert json.loads(counts) == {"key": "k", "runs": 2}


async def test_platform_list_answers_304_until_a_vm_changes():
    listed = ListedVm(vm="vm-1", data_centre="papantla")
    platform = Platform(PlatformSettings(vms=(listed,)))
    platform.start()
    address = platform.server.address
    first = await send(address, "GET", "/vms")
    etag = first.headers["ETag"]
    assert (await fetch(address, "GET", "/vms", If_None_Match=etag))[0] == 304
    change = {"data_centre": "papantla", "state": "leaving"}
    assert (await fetch(address, "PUT", "/vms/vm-1", change))[0] == 200
    status, body = await fetch(address, "GET", "/vms", If_None_Match=etag)
    platform.server.stop()
    assert status == 200
    assert json.loads(body)["vms"][0]["state"] == "leaving"


async def test_platform_rejects_an_unknown_state():
    platform = Platform(PlatformSettings())
    platform.start()
    change = {"data_centre": "papantla", "state": "gone"}
    status, _ = await fetch(platform.server.address, "PUT", "/vms/vm-1", change)
    platform.server.stop()
    assert status == 400
