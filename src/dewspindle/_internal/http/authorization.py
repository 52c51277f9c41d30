"""Authorization of operator requests by bearer token."""

import hmac

from starlette.requests import Request

from ..exceptions import ForbiddenError, UnauthorizedError
from ..schema import settings_pb2

SCHEME = "bearer "


class Authorization:
    """Checks whether the bearer token of a request permits reads or changes."""

    def __init__(self, settings: settings_pb2.Settings) -> None:
        self._operator_token = settings.operator_token.encode()
        self._reader_token = settings.reader_token.encode()

    def check_read(self, request: Request) -> None:
        """Raise `UnauthorizedError` unless the token permits reads."""
        token = self._get_token(request)
        if not (self._matches(token, self._operator_token) or self._is_reader(token)):
            raise UnauthorizedError("the bearer token is missing or invalid")

    def check_change(self, request: Request) -> None:
        """Raise `UnauthorizedError` or `ForbiddenError` unless the token permits changes."""
        token = self._get_token(request)
        if self._matches(token, self._operator_token):
            return
        if self._is_reader(token):
            raise ForbiddenError("the bearer token permits reads but not changes")
        raise UnauthorizedError("the bearer token is missing or invalid")

    def _is_reader(self, token: bytes) -> bool:
        return bool(self._reader_token) and self._matches(token, self._reader_token)

    @staticmethod
    def _get_token(request: Request) -> bytes:
        value = request.headers.get("authorization", "")
        if not value.lower().startswith(SCHEME):
            return b""
        return value[len(SCHEME) :].strip().encode()

    @staticmethod
    def _matches(token: bytes, expected: bytes) -> bool:
        return hmac.compare_digest(token, expected)
