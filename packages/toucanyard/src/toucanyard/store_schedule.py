"""Decide when this node reads a topic from the platform's store.

Every call costs all nodes from one rate, so usually one node reads a topic that changes
all the time and tells the others. Who reads is not agreed on: each node reads once what
it knows is older than it stands for, and the ranks of live nodes stagger that age. When
the reader dies or the store refuses it, the next one starts within its own stagger.

Long polls come on top for a topic that seldom changes. They make its changes known
sooner, but no bound rests on them: on a lost connection a poll looks like a quiet
topic.
"""

from __future__ import annotations

from typing import Final

from toucanyard.keyed_view import Topic

MAX_TOPIC_AGE_MS: Final = {
    Topic.OPERATOR: 1_000.0,
    Topic.REPLICAS: 400.0,
    Topic.NODES: 3_000.0,
}
"""Age of a topic at which the first node reads it."""
SECOND_READER_DELAY_MS: Final = 450.0
"""How much older it gets before the second node reads; a status takes 250 ms."""
NEXT_READER_DELAY_MS: Final = 150.0
"""The same for each further one, up to MAX_RANK."""
HUB_READER_DELAY_MS: Final = 1_500.0
"""How much older a topic gets before the second node of a fleet that is not meshed
reads it: what the first one read takes a few links to all others."""
MAX_RANK: Final = 3
RETRY_MS: Final = 300.0
"""Least time between two reads of one node."""
SILENT_RETRY_MS: Final = 800.0
"""The same for operators' records while the store is silent about replicas too."""
MAX_ASKING_RANK: Final = 1
"""Highest rank of a node that asks again while a read of its own has no answer. A store
that returns is then seen RETRY_MS later, and not when a read of 1.2 s is given up."""
MAX_READ_LATENESS_MS: Final = 200.0
"""By how much a read may come later than it is due on a busy node."""
MIN_POLL_MS: Final = 3_500.0
POLL_MS_PER_NODE: Final = 100.0
"""Waits of long polls grow with the nodes that make them."""
MAX_POLL_MS: Final = 20_000.0
POLL_SPREAD: Final = 0.5
"""Share by which a wait differs from the mean. A change ends all polls at one moment;
spread again, their answers keep the topic confirmed for all nodes."""
POLL_LAG_MS: Final = 300.0
"""How much later than by another way a poll may bring a record."""


def compute_read_age(topic: Topic, rank: int, *, is_full_mesh: bool = True) -> float:
    """Return the age of a topic at which a node of that rank reads it."""
    if rank == 0:
        return MAX_TOPIC_AGE_MS[topic]
    back_ms = SECOND_READER_DELAY_MS if is_full_mesh else HUB_READER_DELAY_MS
    return (
        MAX_TOPIC_AGE_MS[topic]
        + back_ms
        + min(rank - 1, MAX_RANK) * NEXT_READER_DELAY_MS
    )


def compute_outage_threshold(topic: Topic, *, is_full_mesh: bool) -> float:
    """Return the time without an answer after which the store was away for all nodes.

    By then every live node has tried. Before, it may be that only those that go first
    were cut off, and entries that vanish meanwhile were taken away.
    """
    last_ms = compute_read_age(topic, MAX_RANK + 1, is_full_mesh=is_full_mesh)
    return last_ms + RETRY_MS + MAX_READ_LATENESS_MS


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
    """Return how long a read of a topic that seldom changes may wait, in ms.

    `draw` is a random number from 0 to 1.
    """
    mean_ms = min(MIN_POLL_MS + POLL_MS_PER_NODE * node_count, MAX_POLL_MS)
    return mean_ms * (1.0 + POLL_SPREAD * (2.0 * draw - 1.0))
