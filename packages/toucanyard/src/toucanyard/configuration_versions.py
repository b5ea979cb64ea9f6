"""Store the latest versions of the configuration and the patches that made them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from toucanyard.configuration import Configuration
from toucanyard.configuration_records import PatchRecord, compute_digest

_MAX_VERSIONS: Final = 32


class ConfigurationVersions:
    """The latest versions by number.

    Invariant: `newest` is the version added last; it is never dropped.
    """

    __slots__ = ("_by_number", "_digest", "_patches", "newest")

    def __init__(self) -> None:
        self.newest = Configuration()
        self._by_number = {0: self.newest}
        self._patches: dict[int, PatchRecord] = {}
        self._digest: int | None = None

    @property
    def digest(self) -> int:
        """Return the hash of the newest version."""
        if self._digest is None:
            self._digest = compute_digest(self.newest)
        return self._digest

    def find(self, number: int) -> Configuration | None:
        """Return a version if it is among the latest ones."""
        return self._by_number.get(number)

    def find_patches(self, base: int) -> tuple[PatchRecord, ...] | None:
        """Return the patches from a version to the newest one, if all are kept."""
        numbers = range(base + 1, self.newest.version + 1)
        if any(number not in self._patches for number in numbers):
            return None
        return tuple(self._patches[number] for number in numbers)

    def keep(self, configuration: Configuration) -> None:
        """Add a version as the newest one."""
        self.newest = configuration
        self._digest = None
        self._by_number[configuration.version] = configuration
        while len(self._by_number) > _MAX_VERSIONS:
            del self._by_number[min(self._by_number)]
        oldest = configuration.version - _MAX_VERSIONS
        for number in [each for each in self._patches if each <= oldest]:
            del self._patches[number]

    def keep_patches(self, version: int, patches: Sequence[PatchRecord]) -> None:
        """Keep the patches that led to a version, oldest first."""
        latest = patches[-_MAX_VERSIONS:]
        self._patches.update(enumerate(latest, version - len(latest) + 1))
