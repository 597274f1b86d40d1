from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
WIRE_NAMES = (
    "Config.Replace",
    "Config.Read",
    "Attempt-Id",
    "Instance-Seal",
    "Not-Executed",
    "Server-Leaving",
    "Prefix-Hash",
    "Token-Usage",
    "Expect-Instance",
    "Deadline-Ms",
    "Kv-",
    "BULRUSHBEND_SETTINGS",
    "bulrushbend.platform",
)
# A header of the libraries that contains a wire name of the platform.
OWN_NAMES = ("Bulrushbend-Deadline-Ms",)


@pytest.mark.parametrize("path", sorted(ROOT.glob("libs/*/src/**/*.py")), ids=str)
def test_libraries_contain_no_wire_names_of_the_platform(path):
    # Guards against wire names of the platform outside of the adapter.
    text = path.read_text()
    for word in OWN_NAMES:
        text = text.replace(word, "")
    assert [word for word in WIRE_NAMES if word in text] == []
