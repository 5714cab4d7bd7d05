"""What the kernel knows of a TCP connection."""

import fcntl
import socket
import struct
import termios

__all__ = ["unacknowledged_bytes"]

_INT = struct.Struct("i")


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the written bytes that the other machine has not acknowledged; 0 once closed."""
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except (OSError, ValueError):
        return 0
    size_bytes: int = _INT.unpack(queued)[0]
    return size_bytes
