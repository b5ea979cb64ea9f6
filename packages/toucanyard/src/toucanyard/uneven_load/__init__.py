"""Place prompts where replicas differ in speed and demand shifts between kinds.

Active for a service once one of its replicas has stated its contention; until then all
replicas of the service are taken for alike, as in any other deployment.

Promises: a replica gets work in proportion to its speed; the replicas that short
prompts prefer follow the work that short prompts are. Limits: speeds come from what
replicas state, and a statement holds for less time than it takes to reach other nodes,
so the mean of recent ones counts.
Invariants: every estimate belongs to one incarnation of a replica, is bounded, and
decays; a lost or repeated report changes no estimate by more than its samples.
"""
