"""Tracks the versions of the configuration that an instance knows."""

from __future__ import annotations

import typing

__all__ = ['ConfigurationVersions']

_NONE: typing.Final = -1


class ConfigurationVersions:
    """The active version, the newest known and since when it is missing.

    A version is known to be the newest as of some time, when the store was
    asked. Silence does not show that there is no newer one.
    """

    def __init__(self) -> None:
        self._active = _NONE
        self._newest = _NONE
        self._behind_since: float | None = None
        self._confirmed_at = float('-inf')

    @property
    def active(self) -> int:
        """The active version, -1 before the first."""
        return self._active

    @property
    def newest(self) -> int:
        """The highest version that is known to exist, -1 for none."""
        return self._newest

    @property
    def behind(self) -> bool:
        """Whether a higher version than the active one is known."""
        return self._newest > self._active

    @property
    def confirmed_at(self) -> float:
        """As of when the newest known version was the newest."""
        return self._confirmed_at

    def is_current(self, since: float) -> bool:
        """Whether the active version was the newest as of a time."""
        return not self.behind and self._confirmed_at >= since

    def on_confirmed(self, version: int, as_of: float) -> None:
        """Record that no higher version existed at a time."""
        if version >= self._newest:
            self._confirmed_at = max(self._confirmed_at, as_of)

    def behind_seconds(self, now: float) -> float:
        """Return for how long higher versions are known, zero for none."""
        if self._behind_since is None:
            return 0.0
        return now - self._behind_since

    def on_heard_of(self, version: int, now: float) -> bool:
        """Record a version that exists; return whether it is a new one."""
        if version <= self._newest:
            return False
        self._newest = version
        if self._behind_since is None:
            self._behind_since = now
        return True

    def on_active(self, version: int, now: float) -> float | None:
        """Record the activation of a higher version.

        :return: the seconds it was behind, None unless this ends it.
        """
        self._active = version
        self._newest = max(self._newest, version)
        if self._behind_since is None or self.behind:
            return None
        seconds = self.behind_seconds(now)
        self._behind_since = None
        return seconds
