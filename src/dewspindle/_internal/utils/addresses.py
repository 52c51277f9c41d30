"""Parsing of IP addresses with a port."""

import ipaddress
from dataclasses import dataclass

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`, or raise `ValueError`."""
    host, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isascii() or not port_text.isdigit():
        raise ValueError(f"{text!r} is not IP:PORT")
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
    host = host.removeprefix("[").removesuffix("]")
    try:
        if "%" in host:
            raise ValueError("a scope id")
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    return Address(host=host, port=port)
