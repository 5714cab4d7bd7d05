"""The two roles of engines, apart from what else names them: each node imports it at its start."""

import enum

__all__ = ["Role"]


class Role(enum.StrEnum):
    """What an endpoint does for a pool."""

    PREFILL = "prefill"
    DECODE = "decode"
