"""Readable messages for validation errors."""

from pydantic import ValidationError


def format_validation_error(error: ValidationError) -> str:
    """Return one line that names each bad key, its value and what is allowed.

    Parameters
    ----------
    error : ValidationError
        Error raised by a pydantic model.
    """
    return "; ".join(_explain_one(detail) for detail in error.errors())


def _explain_one(detail) -> str:
    key = ".".join(str(part) for part in detail["loc"]) or "document"
    text = f"{key}: {detail['msg']}"
    if detail["type"] == "missing":
        return text
    value = repr(detail.get("input"))
    if len(value) > 60:
        return text
    return f"{text}, got {value}"
