"""Listening sockets, which can be opened before the server that accepts on them is imported."""

import socket

from ..exceptions import InvalidSettingError
from .addresses import parse_address

BACKLOG = 2048

_opened_early: dict[str, socket.socket] = {}


def bind(address_text: str) -> socket.socket:
    """Return a bound socket, which listens already if it was opened early.

    Raises `InvalidSettingError` if the address is unavailable.
    """
    early = _opened_early.pop(address_text, None)
    if early is not None:
        return early
    address = parse_address(address_text)
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    # asyncio sets TCP_NODELAY on accepted sockets only if the protocol is IPPROTO_TCP.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
    except OSError as error:
        listener.close()
        raise InvalidSettingError(
            f"cannot listen on {address}: {error.strerror}",
            hint="choose a local address that no other process uses",
        ) from None
    listener.setblocking(False)
    return listener


def listen_early(address_text: str) -> None:
    """Listen on an address for the next `bind` of it.

    Connections then wait for the server. Refused ones would use up the retries of callers.
    """
    listener = bind(address_text)
    listener.listen(BACKLOG)
    _opened_early[address_text] = listener
