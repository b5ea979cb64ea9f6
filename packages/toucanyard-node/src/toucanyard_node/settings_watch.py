"""Reload the settings on a signal or when the settings file has changed."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.relay_options import RelayOptions

CHECK_INTERVAL_S: Final = 2.0
"""Interval between checks of the file."""
_LOG: Final = structlog.get_logger()


class SettingsInvalidError(Exception):
    """The settings are invalid; during startup the process exits with status 2."""


class SettingsWatch:
    """The settings in effect and the file that they were read from.

    Invariant: invalid settings change nothing.
    """

    __slots__ = ("_apply", "_file", "_load", "_options", "_applied_stamp")

    def __init__(
        self,
        file: Path,
        load: Callable[[Path], RelayOptions],
        options: RelayOptions,
        apply: Callable[[RelayOptions], None],
    ) -> None:
        self._file = file
        self._load = load
        self._options = options
        self._apply = apply
        self._applied_stamp = self._read_file_stamp()

    async def run(self) -> None:
        """Check the file for changes until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._read_file_stamp() != self._applied_stamp:
                self.reload()

    def reload(self) -> None:
        """Read the file and apply what may change at run time: the seeds."""
        self._applied_stamp = self._read_file_stamp()
        try:
            options = self._load(self._file)
        except SettingsInvalidError as error:
            _LOG.error("reload_failed", reason=str(error))
            return
        before = msgspec.structs.asdict(self._options)
        after = msgspec.structs.asdict(options)
        changed = sorted(name for name in after if after[name] != before[name])
        deferred = [name for name in changed if name != "seeds"]
        _LOG.info("reloaded", changed=changed, in_force_at_next_start=deferred)
        self._options = msgspec.structs.replace(self._options, seeds=options.seeds)
        self._apply(self._options)

    def _read_file_stamp(self) -> tuple[int, int] | None:
        try:
            stat = self._file.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size
