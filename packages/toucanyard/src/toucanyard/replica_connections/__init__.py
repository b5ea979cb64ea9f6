"""Decide which connections to replicas are kept and which calls may use them.

On where the settings say that connections are kept; otherwise each call has its own.

Promises: a call that may run once only is never sent on a kept connection, which may
have gone silent or be closed by the replica at that moment; the kept connections of all
nodes fit into a share of what a replica accepts. Limits: with more nodes than a share
of a replica's connections, none is kept. Invariants: a kept connection belongs to one
incarnation of a replica, and is forgotten when a call there fails.
"""
