"""Play many nodes that relay calls, with engines and faults, in one process."""
