"""What the kernel knows of a TCP connection."""

import fcntl
import select
import socket
import struct
import termios

__all__ = ["has_input", "unacknowledged_bytes", "unread_bytes"]

_INT = struct.Struct("i")


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the written bytes that the other machine has not acknowledged; 0 once closed."""
    return _read_queue(sock, termios.TIOCOUTQ)


def unread_bytes(sock: socket.socket) -> int:
    """Return the received bytes that this process has not read; 0 once closed."""
    return _read_queue(sock, termios.FIONREAD)


def has_input(sock: socket.socket) -> bool:
    """Return whether bytes or the other side's close wait to be read; True once closed."""
    poll = select.poll()
    try:
        poll.register(sock.fileno(), select.POLLIN)
    except ValueError:
        return True
    return bool(poll.poll(0))


def _read_queue(sock: socket.socket, request: int) -> int:
    try:
        queued = fcntl.ioctl(sock.fileno(), request, bytes(_INT.size))
    except (OSError, ValueError):
        return 0
    size_bytes: int = _INT.unpack(queued)[0]
    return size_bytes
