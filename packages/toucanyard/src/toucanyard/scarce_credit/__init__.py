"""Spend a customer's scarce credit on its most urgent calls first, over all nodes.

On where the policy of limits says so; otherwise credit goes to whoever asks first.

Promises: while a customer is over its limit, its less urgent calls leave credit for the
more urgent ones that all nodes have lately asked for; within the limit every call is
let in as before, and a limit is never exceeded by more than before. Limits: nodes of an
earlier build ask without a rank and count as the most urgent. Invariants: less urgent
calls get a minimum share of what is granted; what is reserved is bounded by a share of
the burst.
"""
