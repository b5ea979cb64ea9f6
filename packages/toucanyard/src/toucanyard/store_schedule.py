"""Decide when this node reads a topic from the platform's store.

The store's request rate is shared by all nodes, so usually one node reads a topic that
changes constantly and sends the records to the others. The reader is not elected: each
node reads a topic once its copy exceeds a maximum age, and that age is staggered by the
ranks of the live nodes. When the reader fails or the store refuses its reads, the next
node takes over after its own delay.

A topic that seldom changes is also read by long polls. They deliver its changes sooner,
but no bound depends on them: a poll on a lost connection looks like a topic without
changes.
"""

from __future__ import annotations

from typing import Final

from toucanyard.keyed_view import Topic

MAX_TOPIC_AGE_MS: Final = {
    Topic.OPERATOR: 1_000.0,
    Topic.REPLICAS: 400.0,
    Topic.NODES: 3_000.0,
}
"""Age of a topic at which the node of rank 0 reads it."""
SECOND_READER_DELAY_MS: Final = 450.0
"""Additional age at which the node of rank 1 reads it; a status takes 250 ms."""
NEXT_READER_DELAY_MS: Final = 150.0
"""Additional age for each further rank, up to MAX_RANK."""
HUB_READER_DELAY_MS: Final = 1_500.0
"""Additional age for rank 1 in a fleet that is not a full mesh, where the records that
the first node read pass several links until they reach all others."""
HUB_DELAY_MS: Final = 250.0
"""Time in which hubs pass on that the store has answered."""
MAX_RANK: Final = 3
RESTORE_SPREAD_MS: Final = 1_000.0
"""Time over which the nodes of a large fleet read a restored topic."""
RETRY_MS: Final = 300.0
"""Minimum time between two reads of one node."""
SILENT_RETRY_MS: Final = 800.0
"""The same for operators' records while reads of replicas get no answer either."""
MAX_RETRY_RANK: Final = 1
"""Highest rank of a node that sends another read while one of its own is pending. The
return of the store is then detected after RETRY_MS, rather than when a pending read
times out after 1.2 s."""
MAX_READ_LATENESS_MS: Final = 200.0
"""Maximum delay of a due read on a busy node."""
MIN_POLL_MS: Final = 3_500.0
POLL_MS_PER_NODE: Final = 100.0
"""Increase of the wait of long polls with the number of nodes."""
MAX_POLL_MS: Final = 20_000.0
POLL_SPREAD: Final = 0.5
"""Maximum deviation of a wait from the mean, as a share. A change ends all polls at
once; with randomized waits, later answers are spread over time again and keep the topic
confirmed for all nodes."""
POLL_LAG_MS: Final = 300.0
"""How much later a poll may deliver a record than another path."""


def compute_read_age(topic: Topic, rank: int, *, is_full_mesh: bool = True) -> float:
    """Return the age of a topic at which a node of the given rank reads it."""
    if rank == 0:
        return MAX_TOPIC_AGE_MS[topic]
    back_ms = SECOND_READER_DELAY_MS if is_full_mesh else HUB_READER_DELAY_MS
    return (
        MAX_TOPIC_AGE_MS[topic]
        + back_ms
        + min(rank - 1, MAX_RANK) * NEXT_READER_DELAY_MS
    )


def compute_restore_delay(
    rank: int, node_count: int, *, is_full_mesh: bool = True
) -> float:
    """Return how long after a restore of the store a node reads a topic again.

    In a full mesh the node of rank 0 reads it at once and sends it to the others. In a
    larger fleet all nodes read it, spread over time: whole topics from a hub to all
    nodes of its group would fill its link for seconds.
    """
    if not is_full_mesh:
        return RESTORE_SPREAD_MS * rank / max(node_count, 1)
    topic = Topic.REPLICAS
    return compute_read_age(topic, rank) - MAX_TOPIC_AGE_MS[topic]


def compute_outage_threshold(topic: Topic, *, is_full_mesh: bool) -> float:
    """Return the time without an answered read that counts as an outage for all nodes.

    By then every live node has sent a read. After a shorter gap, possibly only the
    nodes of low rank were partitioned, and entries that left the list were removed.
    """
    last_ms = compute_read_age(topic, MAX_RANK + 1, is_full_mesh=is_full_mesh)
    return last_ms + RETRY_MS + MAX_READ_LATENESS_MS


def compute_unconfirmed_age(topic: Topic, *, is_full_mesh: bool) -> float:
    """Return the age of a topic from which its reads are overdue at all nodes."""
    age_ms = compute_read_age(topic, 0) + RETRY_MS
    return age_ms if is_full_mesh else age_ms + HUB_DELAY_MS


def compute_due(
    topic: Topic,
    rank: int,
    confirmed_ms: float,
    asked_ms: float,
    *,
    is_full_mesh: bool = True,
) -> float:
    """Return when a node should read a topic."""
    wanted_ms = compute_read_age(topic, rank, is_full_mesh=is_full_mesh)
    return max(confirmed_ms + wanted_ms, asked_ms + RETRY_MS)


def compute_poll_wait(node_count: int, draw: float) -> float:
    """Return the wait of a long poll, in ms; `draw` is a random number from 0 to 1."""
    mean_ms = min(MIN_POLL_MS + POLL_MS_PER_NODE * node_count, MAX_POLL_MS)
    return mean_ms * (1.0 + POLL_SPREAD * (2.0 * draw - 1.0))
