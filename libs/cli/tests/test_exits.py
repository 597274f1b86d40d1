from bulrushbend.cli.exits import FleetUnavailableError
from bulrushbend.core.errors import outer_name_of


def test_renamed_error_keeps_its_outer_name():
    assert outer_name_of(FleetUnavailableError("no answer")) == "FleetUnavailable"
