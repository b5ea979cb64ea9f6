"""Exchange with peers where streams began.

A node reports each try that it places to its peers, before the try brings its first
event, and asks peers for a try that it does not know. Nothing is reported while the
streams of a route can have begun at one origin only and the store confirms this. In a
fleet with hubs, a node reports to its hubs, and hubs ask each other.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator
from itertools import takewhile
from typing import Final

import msgspec

from toucanyard.link_messages import (
    OriginAnswer,
    OriginAsk,
    OriginMessage,
    OriginReport,
    PlacedStreams,
)
from toucanyard.names import NodeName, ServiceName
from toucanyard.node_directory import NodeDirectory
from toucanyard.relay_events import SendToPeer
from toucanyard.software_versions import MAX_REPORTED, SoftwareVersions
from toucanyard.stream_origins import (
    KEY_BYTES,
    OriginSource,
    StreamKey,
    StreamOrigin,
    StreamOrigins,
)
from toucanyard.stream_records import StreamRecords
from toucanyard.vm_view import compute_rank

ASK_MS: Final = 200.0
"""Time to wait for answers; a peer that has not answered by then is lost or frozen."""
MAX_ASKED: Final = 1_000
"""Questions that may be open at once."""
MAX_PLACED: Final = 20_000
"""Placed tries kept for peers that link later, and for when a second origin appears."""
REPORT_KEYS: Final = 8_000
"""Maximum number of keys in one message."""
HUB_REPORT_MS: Final = 100.0
"""Time between two reports to hubs, which get one from each node of their group."""
HUBS_TOLD: Final = 2
"""Hubs to which a hub reports its own tries."""
CONFIRM_MS: Final = 350.0
"""Time to wait for peers that read the store before they answer."""
MAX_CONFIRMING: Final = 2
"""Peers that are asked to read the store for one stream."""


class _Question(msgspec.Struct):
    asked_ms: float
    until_ms: float
    waiting: set[NodeName]
    """Peers that have not answered."""
    confirming: set[NodeName]
    """Peers that were asked to read the store, and have not answered that."""
    askers: set[NodeName]
    """Nodes for which this hub asks other hubs."""


class _Confirmation(msgspec.Struct, frozen=True):
    """A peer's question that is answered after a read of the store."""

    asker: NodeName
    key: StreamKey
    asked_ms: float


class _Placed(msgspec.Struct, frozen=True, gc=False):
    origin: StreamOrigin
    placed_ms: float


class OriginExchange:
    """What one node reports, asks and answers about the origins of streams.

    Invariants: questions are open for ASK_MS at most; the number of tries kept for
    peers is bounded.
    """

    __slots__ = (
        "_able",
        "_confirmation_asked",
        "_confirmations",
        "_is_unconfirmed",
        "_linked",
        "_nodes",
        "_outbox",
        "_placed",
        "_questions",
        "_reported_ms",
        "_unreported",
        "asked_count",
        "confirmed_ms",
        "origins",
        "records",
        "reported_count",
        "versions",
    )

    def __init__(
        self,
        nodes: NodeDirectory,
        versions: SoftwareVersions,
        is_unconfirmed: Callable[[float], bool],
    ) -> None:
        """`is_unconfirmed` is whether the list of replicas is overdue at a time."""
        self._nodes = nodes
        self.versions = versions
        self._is_unconfirmed = is_unconfirmed
        self.origins = StreamOrigins()
        self.records = StreamRecords(
            nodes.own_name, versions, self.origins, nodes.is_full_mesh
        )
        self._confirmations: list[_Confirmation] = []
        self._confirmation_asked: dict[StreamKey, float] = {}
        """When peers were asked last to confirm the versions for a try."""
        self.confirmed_ms = float("-inf")
        """When this node sent the last question to which a peer knew all versions."""
        self._linked: frozenset[NodeName] = frozenset()
        self._able: set[NodeName] = set()
        """Linked peers that understand messages about origins."""
        self._placed: dict[StreamKey, _Placed] = {}
        """Tries placed by this node, for peers that link to it later."""
        self._unreported: dict[StreamKey, tuple[str, tuple[ServiceName, ...]]] = {}
        """Tries that were not reported yet, with their route and its services."""
        self._questions: dict[StreamKey, _Question] = {}
        self._outbox: list[SendToPeer] = []
        self._reported_ms = float("-inf")
        self.asked_count = 0
        """Questions of this node's own calls."""
        self.reported_count = 0
        """Tries reported to peers."""

    def take_messages(self) -> list[SendToPeer]:
        """Return and clear the messages to be sent."""
        messages, self._outbox = self._outbox, []
        return messages

    # Tries placed by this node.

    def record_placed(
        self,
        key: StreamKey,
        origin: StreamOrigin,
        route: str,
        services: tuple[ServiceName, ...],
        placed_by: str,
        now_ms: float,
    ) -> None:
        """Record a try that this node has just placed."""
        self.origins.record(key, origin, placed_by, OriginSource.OWN, now_ms)
        before = self._placed.pop(key, None)
        if before is not None and before.origin != origin:
            # Peers may have been told the earlier placement, which brought no event.
            self._reported_ms = float("-inf")
        self._placed[key] = _Placed(origin, now_ms)
        self._unreported[key] = (route, services)
        self.records.record_origin(origin, now_ms)
        for tries in (self._placed, self._unreported):
            if len(tries) > MAX_PLACED:
                del tries[next(iter(tries))]

    def report(self, now_ms: float) -> None:
        """Report new tries of routes whose streams may have several origins.

        While the store does not answer, no node can know that they have a single one.
        """
        if not self._unreported or now_ms - self._reported_ms < self._find_interval():
            return
        self._reported_ms = now_ms
        is_unconfirmed = self._is_unconfirmed(now_ms)
        is_several = {
            route: is_unconfirmed or len(self.versions.find_origins(*route, now_ms)) > 1
            for route in set(self._unreported.values())
        }
        if not any(is_several.values()):
            return
        keys = [key for key, route in self._unreported.items() if is_several[route]]
        for key in keys:
            del self._unreported[key]
        self.reported_count += len(keys)
        for message in self._build_reports(keys, with_versions=False, now_ms=now_ms):
            for name in self._find_told():
                self._send(name, message)

    def _find_interval(self) -> float:
        return 0.0 if self._nodes.is_full_mesh() else HUB_REPORT_MS

    def _find_told(self) -> list[NodeName]:
        """Return the peers to which this node reports."""
        if self._nodes.is_full_mesh():
            return sorted(self._able)
        plan, own = self._nodes.plan, self._nodes.own_name
        hubs = sorted(self._able & plan.hubs, key=lambda hub: compute_rank(own, hub))
        return hubs[-HUBS_TOLD:] if plan.is_hub() else hubs

    def _build_reports(
        self, keys: Collection[StreamKey], *, with_versions: bool, now_ms: float
    ) -> Iterator[OriginReport]:
        by_origin: dict[StreamOrigin, list[StreamKey]] = {}
        for key in keys:
            placed = self._placed.get(key)
            if placed is not None:
                by_origin.setdefault(placed.origin, []).append(key)
        versions = tuple(self.versions.list_several(now_ms)) if with_versions else ()
        if versions:
            yield OriginReport((), versions)
        for origin, found in by_origin.items():
            for begin in range(0, len(found), REPORT_KEYS):
                part = b"".join(found[begin : begin + REPORT_KEYS])
                streams = PlacedStreams(origin.service, origin.software_version, part)
                yield OriginReport((streams,))

    def _send(self, name: NodeName, message: OriginMessage) -> None:
        self._outbox.append(SendToPeer(name, message))

    # Links.

    def update_links(self, names: Collection[NodeName]) -> None:
        """Record the currently linked peers."""
        self._linked = frozenset(names)
        self._able &= self._linked
        for question in self._questions.values():
            question.waiting &= self._linked
            question.confirming &= self._linked

    def record_able(self, peer: NodeName, now_ms: float) -> None:
        """Send a newly linked peer that understands them what it may lack."""
        if peer in self._able or peer not in self._linked:
            return
        self._able.add(peer)
        reported = []
        if self._nodes.is_full_mesh() or peer in self._nodes.plan.hubs:
            reported = [key for key in self._placed if key not in self._unreported]
        for message in self._build_reports(reported, with_versions=True, now_ms=now_ms):
            self._send(peer, message)

    def is_linked(self) -> bool:
        """Return whether peers would have reported streams at another origin."""
        return bool(self._able) or not self._nodes.has_others()

    # Messages.

    def read(self, sender: NodeName, message: OriginMessage, now_ms: float) -> None:
        """Handle a peer's message."""
        match message:
            case OriginReport(placed=placed, versions=versions):
                self.versions.apply_reported(versions, now_ms)
                self._apply_placed(sender, placed, now_ms)
            case OriginAsk():
                self._answer(sender, message, now_ms)
            case OriginAnswer():
                self._apply_answer(sender, message, now_ms)

    def _apply_placed(
        self, sender: NodeName, placed: Iterable[PlacedStreams], now_ms: float
    ) -> None:
        for streams in placed:
            origin = StreamOrigin(streams.service, streams.software_version)
            self.versions.record_listed(origin.service, origin.software_version, now_ms)
            whole = len(streams.keys) - len(streams.keys) % KEY_BYTES
            for begin in range(0, whole, KEY_BYTES):
                key = streams.keys[begin : begin + KEY_BYTES]
                self.origins.record(key, origin, sender, OriginSource.TOLD, now_ms)

    # Questions.

    def ask(self, key: StreamKey, now_ms: float) -> None:
        """Ask peers for the origin of a try; nothing is sent if nobody can be asked."""
        if key not in self._questions:
            self.asked_count += 1
            self._open(key, set(), self._find_asked(), now_ms)

    def find_confirmed_time(self) -> float:
        """Return up to when this node knows of all origins that streams may have."""
        return max(self.records.find_read_time(), self.confirmed_ms)

    def ask_confirmation(self, key: StreamKey, since_ms: float, now_ms: float) -> None:
        """Ask peers that may reach the store for all versions that streams may have.

        Once for each call; `since_ms` is when it arrived.
        """
        question = self._questions.get(key)
        if self._confirmation_asked.get(key, float("-inf")) >= since_ms:
            return
        self._confirmation_asked[key] = now_ms
        if len(self._confirmation_asked) > MAX_ASKED:
            del self._confirmation_asked[next(iter(self._confirmation_asked))]
        able = sorted(
            self._find_asked(), key=lambda name: compute_rank(key.hex(), name)
        )
        asked = set(able[:MAX_CONFIRMING])
        if not asked or (question is None and len(self._questions) >= MAX_ASKED):
            return
        askers = set() if question is None else question.askers
        waiting = set() if question is None else question.waiting
        self._questions[key] = _Question(
            now_ms, now_ms + CONFIRM_MS, waiting, asked, askers
        )
        for name in sorted(asked):
            self._send(name, OriginAsk(key, wants_confirmation=True))

    def is_asking(self, key: StreamKey, now_ms: float) -> bool:
        """Return whether an answer about a try may still arrive."""
        question = self._questions.get(key)
        if question is None or not (question.waiting or question.confirming):
            return False
        return now_ms < question.until_ms

    def prune(self, now_ms: float) -> None:
        """Drop what is older than any stream."""
        oldest_ms = now_ms - self.versions.memory_ms
        self.origins.prune(oldest_ms)
        old = takewhile(
            lambda each: each[1].placed_ms < oldest_ms, self._placed.items()
        )
        for key in [key for key, _ in old]:
            del self._placed[key]
            self._unreported.pop(key, None)

    def settle(self, now_ms: float) -> None:
        """Answer the peers for which the store has been read, or can't be."""
        waiting = []
        for each in self._confirmations:
            if each.asker not in self._linked:
                continue
            if self.records.is_read_since(each.asked_ms):
                self._send(each.asker, self._build_confirmation(each.key, now_ms))
            elif self.records.may_be_read(each.asked_ms, now_ms):
                waiting.append(each)
            else:
                self._send(each.asker, self._build_answer(each.key))
        self._confirmations = waiting

    def expire(self, now_ms: float) -> None:
        """Close the questions that have been open for too long."""
        for key, question in list(self._questions.items()):
            if now_ms >= question.until_ms:
                self._close(key, question)

    def _open(
        self,
        key: StreamKey,
        askers: set[NodeName],
        asked: set[NodeName],
        now_ms: float,
    ) -> None:
        if not asked or len(self._questions) >= MAX_ASKED:
            return
        until_ms = now_ms + ASK_MS
        self._questions[key] = _Question(now_ms, until_ms, asked, set(), askers)
        for name in sorted(asked):
            self._send(name, OriginAsk(key))

    def _find_asked(self) -> set[NodeName]:
        if self._nodes.is_full_mesh():
            return set(self._able)
        return self._able & self._nodes.plan.hubs

    def _answer(self, sender: NodeName, ask: OriginAsk, now_ms: float) -> None:
        key = ask.key
        if ask.wants_confirmation and self.origins.find(key) is None:
            if len(self._confirmations) < MAX_ASKED:
                self._confirmations.append(_Confirmation(sender, key, now_ms))
                self.records.request()
            return
        if self.origins.find(key) is None and self._is_relaying(sender):
            question = self._questions.get(key)
            if question is not None:
                question.askers.add(sender)
                return
            asked = self._find_asked() - {sender}
            if asked:
                self._open(key, {sender}, asked, now_ms)
                return
        self._send(sender, self._build_answer(key))

    def _build_confirmation(self, key: StreamKey, now_ms: float) -> OriginAnswer:
        """Return an answer with all versions that recent streams may have."""
        answer = self._build_answer(key)
        known = tuple(self.versions.list_known(now_ms))
        if len(known) > MAX_REPORTED:
            return answer
        return msgspec.structs.replace(answer, confirmed=known)

    def _build_answer(self, key: StreamKey) -> OriginAnswer:
        known = self.origins.find(key)
        if known is None:
            return OriginAnswer(key)
        origin = known.origin
        return OriginAnswer(
            key, origin.service, origin.software_version, known.is_ambiguous
        )

    def _is_relaying(self, sender: NodeName) -> bool:
        """Return whether this hub asks other hubs for a node that is none."""
        plan = self._nodes.plan
        if self._nodes.is_full_mesh() or not plan.is_hub():
            return False
        return sender not in plan.hubs

    def _apply_answer(
        self, sender: NodeName, answer: OriginAnswer, now_ms: float
    ) -> None:
        question = self._questions.get(answer.key)
        if question is None:
            return
        if sender in question.waiting and answer.confirmed is None:
            question.waiting.discard(sender)
        elif sender in question.confirming:
            # It answers the first question, if at all, before it has read the store.
            question.waiting.discard(sender)
            question.confirming.discard(sender)
            self._apply_confirmed(answer, question, now_ms)
        if answer.service is not None:
            origin = StreamOrigin(answer.service, answer.software_version)
            source = OriginSource.ASKED
            self.origins.record(answer.key, origin, sender, source, now_ms)
            known = self.origins.find(answer.key)
            if known is not None and answer.is_ambiguous:
                known.is_ambiguous = True
        is_open = question.waiting or question.confirming
        if answer.service is not None or not is_open:
            self._close(answer.key, question)

    def _apply_confirmed(
        self, answer: OriginAnswer, question: _Question, now_ms: float
    ) -> None:
        if answer.confirmed is not None:
            self.versions.apply_reported(answer.confirmed, now_ms)
            self.confirmed_ms = max(self.confirmed_ms, question.asked_ms)

    def _close(self, key: StreamKey, question: _Question) -> None:
        """Close a question and answer the nodes for which it was asked."""
        del self._questions[key]
        for asker in sorted(question.askers & self._linked):
            self._send(asker, self._build_answer(key))
