"""Simulate many relaying nodes, with engines and faults, in one process."""
