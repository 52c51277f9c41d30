"""Loopback addresses for the servers of demonstration, test and measurement cells."""

import socket

_reservations: list[socket.socket] = []


def reserve_address() -> str:
    """Reserve a free port and return its address on 127.0.0.1.

    The socket stays bound but never listens, so the kernel gives the port to nobody who asks for a
    free one, while a server that sets SO_REUSEADDR can listen on it, again after a restart too. The
    reservation covers all loopback addresses and lasts until `release_addresses`.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("0.0.0.0", 0))
    _reservations.append(reservation)
    return f"127.0.0.1:{reservation.getsockname()[1]}"


def release_addresses() -> None:
    """Release all addresses that this process has reserved."""
    while _reservations:
        _reservations.pop().close()
