"""Decides whether an endpoint has ended, by who answers at its address."""

from saffronworks.forwarding.endpoint_identity import AddressAnswer, Identification
from saffronworks.forwarding.quarantine.tuning import REFUSED_PROBES

__all__ = ["judge_end"]


def judge_end(found: Identification, closed_ms: int, refused: int) -> bool | None:
    """Return whether an endpoint had ended when it closed a connection; None if not known yet.

    `refused` is how many checks since then were refused. A start that listens after a refusal
    may be a later one, which may also bear the same name; only a connection that is older than
    the close tells them apart.
    """
    match found.answer:
        case AddressAnswer.OTHER_NAME:
            return True
        case AddressAnswer.SAME_NAME:
            outlived = found.connected_ms is not None and found.connected_ms < closed_ms
            return bool(refused) and not outlived
        case AddressAnswer.LISTENS:
            return bool(refused)
        case AddressAnswer.REFUSES:
            return True if refused >= REFUSED_PROBES else None
        case AddressAnswer.SILENT:
            return None
