"""The requests that a connection has carried."""

from array import array

__all__ = ["CarriedRequests"]

# Most requests on one connection; 2 KB of hashes.
MAX_REQUESTS = 256


class CarriedRequests:
    """Remembers by their hashes which requests were sent on a connection.

    Two requests with the same hash count as the same one.
    """

    def __init__(self) -> None:
        self._hashes = array("q")

    def __contains__(self, request_id: str) -> bool:
        return hash(request_id) in self._hashes

    def add(self, request_id: str) -> None:
        """Add a request; the connection must not be `full`."""
        self._hashes.append(hash(request_id))

    @property
    def full(self) -> bool:
        """Return whether the connection must carry no further request.

        A forgotten request could be sent there again.
        """
        return len(self._hashes) >= MAX_REQUESTS
