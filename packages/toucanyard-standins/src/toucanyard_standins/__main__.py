"""Run the stand-ins as `python -m toucanyard_standins`."""

from toucanyard_standins.main import main

main()
