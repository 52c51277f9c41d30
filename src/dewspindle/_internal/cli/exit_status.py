"""Exit statuses of the program."""

from enum import Enum


class ExitStatus(Enum):
    """Exit statuses shared by all commands."""

    OK = 0
    FAILED = 1  # Request refused, object not found, or fatal error of the instance.
    BAD_USAGE = 2  # Invalid flag, setting or file.
    UNREACHABLE = 3  # No response; a change may have been made, resend it with the same --key.
