"""The reservations that endpoints granted lately, to recognise a late copy of such an answer."""

from collections import OrderedDict

from saffronworks.forwarding.starts import StartId

__all__ = ["RecentHolds"]

# Most reservations remembered, the newest ones; far more than a node takes while a copy may come.
MAX_HOLDS = 4096


class RecentHolds:
    """Reservation ids by endpoint. An endpoint grants each id once."""

    def __init__(self) -> None:
        self._holds: OrderedDict[tuple[StartId, str], None] = OrderedDict()

    def add(self, instance: StartId, hold_id: str) -> bool:
        """Record a granted reservation; return False if it was granted before."""
        key = instance, hold_id
        if key in self._holds:
            return False
        self._holds[key] = None
        if len(self._holds) > MAX_HOLDS:
            self._holds.popitem(last=False)
        return True
