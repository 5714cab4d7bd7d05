"""Numbers in header fields: one reader for what callers and endpoints send.

Neither raises: what `str.isdigit` calls a digit, `int` may refuse, and `float` takes more than it.
"""

import re

from result import Err, Ok, Result

__all__ = ["MAX_COUNT_DIGITS", "read_count", "read_decimal", "read_whole", "shorten"]

# Digits enough for any count, id or time, and few enough for what nodes tell each other; a float
# holds fifteen exactly.
_WHOLE = re.compile(r"[0-9]{1,18}", re.ASCII)
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{0,15})?", re.ASCII)
# Products of a count with a small factor, and sums of many, fit the integers that nodes exchange.
MAX_COUNT_DIGITS = 15
# Of a value that is no number, so much is told.
_SHOWN_CHARS = 40


def read_whole(text: str) -> Result[int, str]:
    """A whole number, 0 or more, in plain digits; else what was found in its place."""
    found = text.strip(" \t")
    return Ok(int(found)) if _WHOLE.fullmatch(found) else Err(shorten(text))


def read_count(text: str) -> Result[int, str]:
    """Parse a whole number of at most `MAX_COUNT_DIGITS` digits, such as a number of tokens."""
    whole = read_whole(text)
    if isinstance(whole, Ok) and whole.ok_value >= 10**MAX_COUNT_DIGITS:
        return Err(shorten(text))
    return whole


def read_decimal(text: str) -> Result[float, str]:
    """A number, 0 or more, in plain digits with or without a fraction; else what was found."""
    found = text.strip(" \t")
    return Ok(float(found)) if _DECIMAL.fullmatch(found) else Err(shorten(text))


def shorten(text: str) -> str:
    """What is told of a value that is no number."""
    return text if len(text) <= _SHOWN_CHARS else f"{text[:_SHOWN_CHARS]}..."
