"""Accepts callers' connections while the program is still being imported."""

from ..exceptions import InvalidSettingError
from ..utils.listeners import listen_early
from .settings_file import load_platform_settings


def listen_for_callers() -> None:
    """Listen on the address of callers, if the settings name one.

    Invalid settings have no effect here; the program reports them when it loads them itself.
    """
    try:
        platform = load_platform_settings()
        if platform.client_address:
            listen_early(platform.client_address)
    except (InvalidSettingError, ValueError):
        return
