"""Error messages for pydantic validation errors."""

from pydantic import ValidationError


def format_validation_error(error: ValidationError) -> str:
    """Return one line that names each invalid key, the error and the value found.

    Parameters
    ----------
    error : ValidationError
        Error raised by the validation of a pydantic model.
    """
    return "; ".join(_format_detail(detail) for detail in error.errors())


def _format_detail(detail) -> str:
    key = ".".join(str(part) for part in detail["loc"]) or "document"
    text = f"{key}: {detail['msg']}"
    if detail["type"] == "missing":
        return text
    try:
        value = repr(detail.get("input"))
    except RecursionError:
        return text
    if len(value) > 60:
        return text
    return f"{text}, got {value}"
