"""Failures of an exchange with an endpoint."""

import enum

__all__ = ["ExchangeError", "ExchangeErrorCause", "FaultSite"]


class ExchangeErrorCause(enum.StrEnum):
    """Cause of an exchange's end without a complete answer."""

    CONNECT = "connect"
    SILENT = "silent"
    CLOSED = "closed"
    RESET = "reset"
    UNREACHABLE = "unreachable"
    NOT_HTTP = "not-http"
    # More bytes than the limit for this part of an answer.
    OVERSIZED = "oversized"
    # The answer has begun, but not ended within its time.
    ENDLESS = "endless"
    # An answer came that may belong to an earlier call, and no other one after it.
    UNMATCHED = "unmatched"
    OUT_OF_ORDER = "out-of-order"
    # The entry of the endpoint names another software version than before the request was sent.
    VERSION_CHANGED = "version-changed"
    # The endpoint has restarted and lost the state of the exchange.
    RESTARTED = "restarted"
    # Nothing was sent, because the endpoint accepts no more requests.
    WITHHELD = "withheld"


class FaultSite(enum.StrEnum):
    """Where an exchange failed."""

    ENDPOINT = "endpoint"
    # On this node's network path, or at the node that relayed the request.
    PATH = "path"
    # No other node could be asked.
    UNKNOWN = "unknown"


_UNREACHABLE = frozenset([ExchangeErrorCause.CONNECT, ExchangeErrorCause.UNREACHABLE])


class ExchangeError(Exception):
    """An exchange has failed; `sent` is whether the endpoint may have received the request.

    `relayed_by` is the address of the node that relayed it, None for a direct connection.
    """

    def __init__(self, cause: ExchangeErrorCause, sent: bool, relayed_by: str | None = None):
        super().__init__(cause.value)
        self.cause = cause
        self.sent = sent
        self.relayed_by = relayed_by

    @property
    def withheld(self) -> bool:
        """Return whether nothing was sent, so that the endpoint has not failed."""
        return self.cause is ExchangeErrorCause.WITHHELD

    @property
    def unreachable(self) -> bool:
        """Return whether the endpoint is down or the network path to it is cut."""
        return self.cause in _UNREACHABLE
