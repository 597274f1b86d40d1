"""Parsing of addresses and numbers from the command line."""

from bulrushbend.cli.exits import UsageError
from bulrushbend.core.settings import split_address


def parse_addresses(text: str, option: str) -> list[str]:
    """Split ``"host:port,host:port"`` into addresses.

    Parameters
    ----------
    text : str
        Value of the option.
    option : str
        Name of the option, for the error message.

    Raises
    ------
    UsageError
        If the list is empty or an address does not have the form host:port.
    """
    addresses = [part.strip() for part in text.split(",") if part.strip()]
    if not addresses:
        raise UsageError(
            f"must list one or more addresses of the form host:port, got {text!r}",
            step=option,
        )
    for address in addresses:
        try:
            split_address(address)
        except ValueError as error:
            raise UsageError(f"{error}, got {address!r}", step=option) from None
    return addresses


def parse_positive(text: str, option: str) -> float:
    """Parse a positive number.

    Raises
    ------
    UsageError
        If the text is not a number above 0 and below 1e9.
    """
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value < 1e9:
        raise UsageError(
            f"must be a number above 0 and below 1e9, got {text!r}", step=option
        )
    return value
