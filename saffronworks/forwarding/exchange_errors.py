"""Why an exchange with an endpoint ended without a whole answer."""

import enum

__all__ = ["ExchangeError", "ExchangeErrorCause"]


class ExchangeErrorCause(enum.StrEnum):
    """Why an exchange ended without a whole answer."""

    CONNECT = "connect"
    SILENT = "silent"
    CLOSED = "closed"
    RESET = "reset"
    UNREACHABLE = "unreachable"
    NOT_HTTP = "not-http"
    OUT_OF_ORDER = "out-of-order"
    # The endpoint has started again since, and knows nothing of the exchange.
    RESTARTED = "restarted"
    # This node sent nothing: the endpoint wants no more requests.
    WITHHELD = "withheld"


_UNREACHABLE = frozenset([ExchangeErrorCause.CONNECT, ExchangeErrorCause.UNREACHABLE])


class ExchangeError(Exception):
    """The exchange is over; `sent` tells whether the endpoint may have seen the request."""

    def __init__(self, cause: ExchangeErrorCause, sent: bool):
        super().__init__(cause.value)
        self.cause = cause
        self.sent = sent

    @property
    def withheld(self) -> bool:
        """Whether the endpoint was not tried, so that it has not failed."""
        return self.cause is ExchangeErrorCause.WITHHELD

    @property
    def unreachable(self) -> bool:
        """Whether nobody is there, or the way there is cut."""
        return self.cause in _UNREACHABLE
