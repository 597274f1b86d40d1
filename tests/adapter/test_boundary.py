from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
WIRE_WORDS = (
    "Config.Replace",
    "Config.Read",
    "Attempt-Id",
    "Instance-Seal",
    "Not-Executed",
    "Prefix-Hash",
    "Token-Usage",
    "Expect-Instance",
    "Deadline-Ms",
    "Kv-",
    "BULRUSHBEND_SETTINGS",
    "bulrushbend.platform",
)
# The product's own header has the same ending.
OWN_WORDS = ("Bulrushbend-Deadline-Ms",)


@pytest.mark.parametrize("path", sorted(ROOT.glob("libs/*/src/**/*.py")), ids=str)
def test_product_does_not_know_the_platforms_names(path):
    # Guards against wire names that leak out of the adapter.
    text = path.read_text()
    for word in OWN_WORDS:
        text = text.replace(word, "")
    assert [word for word in WIRE_WORDS if word in text] == []
