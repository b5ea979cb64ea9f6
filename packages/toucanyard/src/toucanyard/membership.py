"""Decide which endpoints are usable, which peers to link to and what to gossip.

The caller passes events in and carries out the returned actions; there are no clocks
or sockets here. `evidence` holds the failure evidence on endpoints, `vm_view` the VM
list, and `gossip_queue` the updates that nodes forward to each other.
"""

from __future__ import annotations

import random
from collections.abc import Sequence, Set
from typing import Final

import msgspec

from toucanyard.configuration import Endpoint
from toucanyard.digests import (
    Digest,
    GossipUpdate,
    Leaving,
    Recovered,
    Restarted,
    Suspected,
)
from toucanyard.evidence import REFRESH_MS, Evidence
from toucanyard.gossip_queue import GossipQueue
from toucanyard.membership_events import (
    Action,
    ConfigurationChanged,
    ConfigurationConfirmed,
    DigestArrived,
    EndpointError,
    EndpointReported,
    EndpointRestarted,
    Event,
    FetchConfiguration,
    NodeLeaves,
    PeerConfirmed,
    PeerDown,
    PeerUp,
    SendDigest,
    Ticked,
    VmListRead,
)
from toucanyard.names import Address, EndpointName, Incarnation, NodeName
from toucanyard.options import MembershipTimings
from toucanyard.patches import find_owners
from toucanyard.usable_endpoints import UsablePool, UsablePools
from toucanyard.vm_view import Vm, VmView, WatchRing, choose_peers

GOSSIP_TTL_MS: Final = 30_000.0
_MIN_GAP_MS: Final = 100.0
"""Minimum time between two digests to one peer, even if updates are urgent."""
_UPDATES_PER_INTERVAL: Final = 40
"""Updates sent per interval to all peers together; bounds this node's traffic."""
_UPDATES_PER_DIGEST: Final = 12
"""Updates in one digest, so that the first peer does not use up the whole budget."""
_URGENT_DIGESTS_PER_INTERVAL: Final = 4
"""Digests sent ahead of schedule per interval to all peers together."""
_FETCH_RETRY_MS: Final = 500.0
_MAX_WATCHED_BY_ALL: Final = 64
_WATCHERS: Final = 3


class _Peer(msgspec.Struct):
    last_sent_ms: float
    last_echo_ms: float = -1.0
    version_sent: int = -1


class Membership:
    """One node's view of endpoints and nodes.

    Invariant: an endpoint that is leaving is never usable.
    """

    def __init__(
        self,
        node: NodeName,
        incarnation: Incarnation,
        timings: MembershipTimings,
        rng: random.Random,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self._timings = timings
        self._rng = rng
        self._view = VmView()
        self._ring = WatchRing(())
        self._chosen_from: tuple[Vm, ...] = ()
        self._chosen: list[Vm] = []
        self._watched_from: tuple[Endpoint, ...] = ()
        self._watched: list[Endpoint] = []
        self._gossip_queue = GossipQueue(GOSSIP_TTL_MS)
        self._evidence = Evidence(node, timings)
        self._pools = UsablePools()
        self._peers: dict[NodeName, _Peer] = {}
        self._leave_queued_ms: dict[Address, float] = {}
        self._leave_learned_ms: dict[Address, float] = {}
        self._own_leaving: Address | None = None
        self._version = 0
        self._digest = 0
        self._confirmed_ms: float | None = None
        self._fetch_requested_ms = float("-inf")
        self._update_budget = float(_UPDATES_PER_INTERVAL)
        self._urgent_budget = float(_URGENT_DIGESTS_PER_INTERVAL)
        self._budget_ms: float | None = None

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the last plausible VM list."""
        return self._view.vms

    def is_leaving(self, endpoint: Endpoint, now_ms: float) -> bool:
        """Return whether an endpoint may not get new work since its VM is leaving."""
        address = endpoint.address
        if self._view.is_gone(address):
            return True
        return self.is_address_leaving(address, now_ms)

    def is_address_leaving(self, address: Address, now_ms: float) -> bool:
        """Return whether the VM at an address is leaving, by the list or by gossip."""
        if self._view.is_leaving(address):
            return True
        learned_ms = self._leave_learned_ms.get(address)
        return learned_ms is not None and now_ms - learned_ms <= GOSSIP_TTL_MS

    def find_usable(
        self, endpoints: Sequence[Endpoint], now_ms: float
    ) -> Sequence[Endpoint]:
        """Return the endpoints of one pool or service that may get new work.

        If all endpoints that are not leaving look dead, all of these are returned: a
        failed attempt costs less than a refusal, and this node's own network may be
        what failed. Returns the same object while nothing changes. The caller must not
        modify `endpoints` afterwards.
        """
        pool = self._pools.get(endpoints)
        return pool.exclude(self._find_unusable(pool, now_ms))

    def find_unusable(
        self, endpoints: Sequence[Endpoint], now_ms: float
    ) -> Set[EndpointName]:
        """Return the names of the endpoints that `find_usable` excludes."""
        return self._find_unusable(self._pools.get(endpoints), now_ms)

    def find_incarnation(self, endpoint: EndpointName) -> Incarnation | None:
        """Return the latest known incarnation of an endpoint."""
        return self._evidence.find_incarnation(endpoint)

    def find_peers(self) -> list[Vm]:
        """Return the nodes to which this node should be linked."""
        nodes = self._view.find_nodes()
        # Called several times a second; choosing among 320 nodes takes 1,000 hashes.
        if nodes is not self._chosen_from:
            self._chosen_from = nodes
            self._chosen = choose_peers(self.node, nodes, self._timings.max_peers)
        return list(self._chosen)

    def find_nodes(self) -> tuple[Vm, ...]:
        """Return the live VMs that run a node, sorted by name.

        Returns the same object until a new VM list is read.
        """
        return self._view.find_nodes()

    def find_linked(self) -> list[NodeName]:
        """Return the peers to which this node is linked."""
        return list(self._peers)

    def find_watched(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that this node polls: all if few, else its share."""
        if len(endpoints) <= _MAX_WATCHED_BY_ALL:
            return list(endpoints)
        wanted = tuple(endpoints)
        if wanted != self._watched_from:
            self._watched_from = wanted
            self._watched = [
                each
                for each in wanted
                if self.node in self._ring.find_watchers(each.name, _WATCHERS)
            ]
        return list(self._watched)

    def find_followed(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the endpoints whose cache events this node reads: one node for each.

        Load reports and failure detection need several sources; a second reader of the
        same events would only double the traffic. When the first node drops out of the
        VM list, the next node on the ring takes over.
        """
        if len(endpoints) <= _MAX_WATCHED_BY_ALL:
            return list(endpoints)
        return [
            each
            for each in self.find_watched(endpoints)
            if self._ring.find_watchers(each.name, 1) == [self.node]
        ]

    def is_self_suspect(self, now_ms: float) -> bool:
        """Return whether so many endpoints fail that this node is likely at fault."""
        return self._evidence.is_self_suspect(now_ms)

    def find_condemned(self, now_ms: float) -> list[EndpointName]:
        """Return the endpoints that enough sources suspect."""
        return self._evidence.find_all_condemned(now_ms)

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Handle one event; return the actions for the caller to carry out."""
        match event:
            case VmListRead():
                self._apply_vm_list(event, now_ms)
            case EndpointReported():
                return self._record_endpoint_report(event, now_ms)
            case EndpointError():
                self._evidence.record_error(event.endpoint, now_ms)
                self._queue_suspicions(now_ms)
            case DigestArrived():
                return self._apply_digest(event.sender, event.digest, now_ms)
            case PeerUp() | PeerDown():
                self._record_link(event, now_ms)
            case ConfigurationChanged():
                self._apply_configuration(event)
            case ConfigurationConfirmed():
                self._confirmed_ms = event.confirmed_ms
            case NodeLeaves(address=address):
                self._own_leaving = address
                self._queue_own_leave(now_ms)
            case Ticked():
                return self._tick(now_ms)
        return []

    def _find_unusable(self, pool: UsablePool, now_ms: float) -> set[EndpointName]:
        evidence = self._evidence
        size = len(pool.endpoints)
        leaving = self._find_leaving(pool, now_ms)
        if not evidence.has_suspicions():
            return leaving
        unreachable = leaving | evidence.find_avoided(pool.names, now_ms)
        if len(unreachable) == size:
            return leaving
        suspected = evidence.find_suspected(pool.names) - unreachable
        unusable = unreachable | evidence.find_condemned(suspected, size, now_ms)
        return unreachable if len(unusable) == size else unusable

    def _find_leaving(self, pool: UsablePool, now_ms: float) -> set[EndpointName]:
        addresses = self._view.find_leaving(pool.addresses)
        for address in self._leave_learned_ms.keys() & pool.addresses:
            if self.is_address_leaving(address, now_ms):
                addresses.add(address)
        return pool.find_at(addresses)

    def _apply_vm_list(self, event: VmListRead, now_ms: float) -> None:
        self._view.read(event.vms, now_ms)
        names = {vm.name for vm in self._view.find_nodes()} | {str(self.node)}
        if names != self._ring.nodes:
            self._ring = WatchRing(sorted(names))
            self._watched_from = ()
        leaving = self._view.leaving
        queued_ms = self._leave_queued_ms
        for address in sorted(leaving):
            if now_ms - queued_ms.get(address, float("-inf")) >= REFRESH_MS:
                queued_ms[address] = now_ms
                self._gossip_queue.enqueue(Leaving(address, 0), now_ms, None)
        for address in set(queued_ms) - leaving - {self._own_leaving}:
            del queued_ms[address]

    def _queue_own_leave(self, now_ms: float) -> None:
        """Announce that this node is leaving; the VM list may lag by seconds."""
        address = self._own_leaving
        if address is None:
            return
        last_queued_ms = self._leave_queued_ms.get(address, float("-inf"))
        if now_ms - last_queued_ms >= REFRESH_MS:
            self._leave_queued_ms[address] = now_ms
            self._gossip_queue.enqueue(Leaving(address, 0), now_ms, None)

    def _record_link(self, event: PeerUp | PeerDown, now_ms: float) -> None:
        self._peers.pop(event.peer, None)
        if isinstance(event, PeerDown):
            return
        # Delay the first digest by a random part of the interval; otherwise nodes that
        # started together would keep sending at the same moment.
        interval_ms = self._timings.digest_interval_ms
        self._peers[event.peer] = _Peer(now_ms - self._rng.random() * interval_ms)
        self._gossip_queue.forget_peer(event.peer)

    def _record_endpoint_report(
        self, event: EndpointReported, now_ms: float
    ) -> list[Action]:
        name = event.endpoint
        if self._evidence.record_success(name, now_ms):
            self._gossip_queue.enqueue(Recovered(name, self.node, 0), now_ms, None)
        before = self._evidence.find_incarnation(name)
        if not self._evidence.learn_from_answer(
            name, event.incarnation, event.asked_ms
        ):
            return []
        if before is not None:
            self._gossip_queue.enqueue(
                Restarted(name, event.incarnation, 0), now_ms, None
            )
        return [EndpointRestarted(name, event.incarnation)]

    def _queue_suspicions(self, now_ms: float) -> None:
        for name in self._evidence.take_suspected(now_ms):
            self._gossip_queue.enqueue(Suspected(name, self.node, 0), now_ms, None)

    def _apply_configuration(self, event: ConfigurationChanged) -> None:
        self._version = event.configuration.version
        self._digest = event.digest
        self._evidence.keep(
            endpoint.name
            for owner in find_owners(event.configuration)
            for endpoint in owner.endpoints
        )

    def _apply_digest(
        self, sender: NodeName, digest: Digest, now_ms: float
    ) -> list[Action]:
        peer = self._peers.get(sender)
        if peer is None:
            return []
        peer.last_echo_ms = digest.sent_ms
        actions: list[Action] = []
        is_requested = now_ms - self._fetch_requested_ms < _FETCH_RETRY_MS
        if digest.version > self._version and not is_requested:
            self._fetch_requested_ms = now_ms
            actions.append(FetchConfiguration(sender, self._version))
        if digest.echo_ms >= 0 and digest.confirmed_age_ms >= 0:
            # The peer sent this after it received this node's digest of `echo_ms`, so
            # that time bounds the confirmation's age whatever the latency was.
            confirmed_ms = min(digest.echo_ms, now_ms) - digest.confirmed_age_ms
            actions.append(
                PeerConfirmed(
                    sender, digest.version, digest.configuration_digest, confirmed_ms
                )
            )
        for update in digest.updates:
            actions += self._apply_update(update, sender, now_ms)
        return actions

    def _apply_update(
        self, update: GossipUpdate, sender: NodeName, now_ms: float
    ) -> list[Action]:
        if not self._gossip_queue.enqueue(update, now_ms, sender):
            return []
        evidence = self._evidence
        at_ms = now_ms - update.age_ms
        match update:
            case Leaving():
                self._leave_learned_ms[update.address] = at_ms
            case Restarted():
                if evidence.learn_from_gossip(
                    update.endpoint, update.incarnation, at_ms
                ):
                    return [EndpointRestarted(update.endpoint, update.incarnation)]
            case Suspected():
                evidence.record_suspicion(update.endpoint, update.source, at_ms)
            case Recovered():
                evidence.withdraw(update.endpoint, update.source)
        return []

    def _tick(self, now_ms: float) -> list[Action]:
        self._queue_suspicions(now_ms)
        self._queue_own_leave(now_ms)
        self._gossip_queue.prune(now_ms)
        self._evidence.prune(now_ms)
        self._refill(now_ms)
        for address, learned_ms in list(self._leave_learned_ms.items()):
            if now_ms - learned_ms > GOSSIP_TTL_MS:
                del self._leave_learned_ms[address]
        due = [name for name in self._peers if self._is_digest_due(name, now_ms)]
        return [self._build_digest(name, now_ms) for name in due]

    def _refill(self, now_ms: float) -> None:
        if self._budget_ms is not None:
            share = (now_ms - self._budget_ms) / self._timings.digest_interval_ms
            refilled = self._update_budget + share * _UPDATES_PER_INTERVAL
            self._update_budget = min(float(_UPDATES_PER_INTERVAL), refilled)
            urgent = self._urgent_budget + share * _URGENT_DIGESTS_PER_INTERVAL
            self._urgent_budget = min(float(_URGENT_DIGESTS_PER_INTERVAL), urgent)
        self._budget_ms = now_ms

    def _is_digest_due(self, name: NodeName, now_ms: float) -> bool:
        peer = self._peers[name]
        waited_ms = now_ms - peer.last_sent_ms
        if waited_ms >= self._timings.digest_interval_ms:
            return True
        if waited_ms < _MIN_GAP_MS or min(self._update_budget, self._urgent_budget) < 1:
            return False
        # A new version, a leaving VM or a failure must not wait an interval per hop.
        is_urgent = peer.version_sent != self._version
        if not is_urgent and not self._gossip_queue.has_updates_for(name):
            return False
        self._urgent_budget -= 1
        return True

    def _build_digest(self, name: NodeName, now_ms: float) -> SendDigest:
        peer = self._peers[name]
        peer.last_sent_ms = now_ms
        peer.version_sent = self._version
        limit = min(_UPDATES_PER_DIGEST, max(0, int(self._update_budget)))
        updates = self._gossip_queue.take_for(name, now_ms, limit)
        self._update_budget -= len(updates)
        confirmed_ms = self._confirmed_ms
        digest = Digest(
            node=self.node,
            sent_ms=now_ms,
            echo_ms=peer.last_echo_ms,
            version=self._version,
            configuration_digest=self._digest,
            confirmed_age_ms=-1.0 if confirmed_ms is None else now_ms - confirmed_ms,
            updates=updates,
        )
        return SendDigest(name, digest)
