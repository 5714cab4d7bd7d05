"""Bounds the nesting of JSON documents that other programs have written parts of."""

import re

__all__ = ["MAX_JSON_DEPTH", "drop_deep_values"]

# Documents that this project reads are nested less than a dozen deep.
MAX_JSON_DEPTH = 64

# A string, also one without its end, or one bracket.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[\[{]|[\]}]', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"


def drop_deep_values(content: bytes, max_depth: int = MAX_JSON_DEPTH) -> bytes:
    """Return a JSON document with `null` for each list or object nested deeper than `max_depth`.

    Decoders recurse and fail as a whole on deep nesting, also where a value is only skipped. This
    takes time proportional to the length, whatever the content. Other faults stay in the document.
    """
    kept: list[bytes] = []
    depth = copied_to = 0
    for token in _TOKEN.finditer(content):
        first = content[token.start()]
        if first in _OPENING:
            if depth == max_depth:
                kept += (content[copied_to : token.start()], b"null")
            depth += 1
        elif first in _CLOSING:
            depth -= 1
            if depth == max_depth:
                copied_to = token.end()
    # The rest of a document that ends inside a deep value belongs to that value.
    return b"".join(kept if depth > max_depth else [*kept, content[copied_to:]])
