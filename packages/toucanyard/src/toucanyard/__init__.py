"""Decision logic of the toucanyard router: no sockets, clocks or random sources."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"
