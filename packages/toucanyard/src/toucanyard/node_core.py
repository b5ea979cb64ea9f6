"""The decision logic of one node: maps an event and the current time to actions.

Owns one instance of each decision module and routes events between them. It has no
sockets, clock or tasks, so any number of nodes can run in one process.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

from toucanyard.admission import Admission
from toucanyard.at_most_once import AtMostOnce
from toucanyard.claim_events import (
    ClaimAction,
    ClaimRecordsRead,
    HandoverBegun,
    LogState,
    PeerMessageArrived,
    RecordsSettled,
    SendToPeer,
    Ticked,
)
from toucanyard.configuration import Configuration, Endpoint
from toucanyard.configuration_log import ConfigurationLog
from toucanyard.configuration_records import ConfigurationDelta
from toucanyard.configuration_sync import ConfigurationSynchronizer
from toucanyard.core_events import (
    AppendSettled,
    AppendToLog,
    CacheDumpRead,
    CacheEventsRead,
    CallerLeft,
    DispatchFinished,
    DrainBegun,
    EndpointPollFailed,
    FirstTokenSeen,
    LinksChanged,
    LoadRead,
    LogExpired,
    LogRead,
    LogReadRestarted,
    LogStateSeen,
    MessageRead,
    OrderEnded,
    PatchAnswered,
    PatchSubmitted,
    ReadDump,
    Reply,
    RequestArrived,
    RequestTurnedAway,
    SendMessage,
    StateRead,
    TickPassed,
    VmsRead,
)
from toucanyard.digests import ConfigurationOffer, ConfigurationRequest, Digest
from toucanyard.dump_requests import DumpRequests
from toucanyard.endpoint_directory import EndpointDirectory
from toucanyard.linked_peers import LinkedPeers
from toucanyard.membership import Membership
from toucanyard.membership_events import (
    Action as MembershipAction,
    DigestArrived,
    EndpointReported,
    EndpointRestarted,
    FetchConfiguration,
    NodeLeaves,
    PeerConfirmed,
    SendDigest,
    Ticked as MembershipTicked,
    VmListRead,
)
from toucanyard.names import (
    Incarnation,
    NodeId,
    NodeName,
)
from toucanyard.options import Options
from toucanyard.order_messages import ReadState, SendOrder
from toucanyard.patches import list_endpoints
from toucanyard.placement import Placement, PlacementLimits
from toucanyard.pool_order_runner import PoolOrderRunner
from toucanyard.request_flow import FlowAction, RequestFlow
from toucanyard.snapshot_exchange import SnapshotExchange
from toucanyard.snapshots import SnapshotBusy, SnapshotPart, SnapshotRequest
from toucanyard.vm_view import Vm

CoreEvent = (
    RequestArrived
    | RequestTurnedAway
    | CallerLeft
    | FirstTokenSeen
    | DispatchFinished
    | LogRead
    | LogExpired
    | LogReadRestarted
    | LogStateSeen
    | AppendSettled
    | VmsRead
    | LinksChanged
    | MessageRead
    | PatchSubmitted
    | LoadRead
    | CacheEventsRead
    | CacheDumpRead
    | EndpointPollFailed
    | StateRead
    | OrderEnded
    | DrainBegun
    | HandoverBegun
    | TickPassed
)
CoreAction = (
    Reply | AppendToLog | SendMessage | PatchAnswered | ReadDump | SendOrder | ReadState
)


class NodeCore:
    """The decisions of one node incarnation.

    Invariant: state changes only inside `handle`, so all actions of one event are
    known before the next event is processed.
    """

    def __init__(
        self, options: Options, incarnation: Incarnation, rng: random.Random
    ) -> None:
        self.identity = NodeId(options.name, incarnation)
        self._options = options
        self._applied_version = 0
        self._is_draining = False
        self._node_count = 1
        self.log = ConfigurationLog(options.configuration, rng.random())
        self.membership = Membership(options.name, incarnation, options.membership, rng)
        self.synchronizer = ConfigurationSynchronizer(self.log, self.membership)
        view_blocks = options.placement.max_view_blocks
        self.placement = Placement(rng, PlacementLimits(max_blocks=view_blocks))
        self._peers = LinkedPeers(options.domain, self.membership)
        self._dumps = DumpRequests(self.membership, self.placement)
        self.admission = Admission(options.admission, rng)
        self.claims = AtMostOnce(options.name, incarnation, options.claims, rng)
        self.directory = EndpointDirectory(self.membership)
        self.order_runner = PoolOrderRunner(self.identity, rng)
        self.snapshots = SnapshotExchange(
            options.domain,
            self.log,
            self.membership,
            self.placement,
            self.directory,
            rng,
        )
        self.flow = RequestFlow(
            self.admission,
            self.placement,
            self.claims,
            self.directory,
            options.streams,
            options.admission.max_attempts,
        )

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.log.in_force

    def find_linked(self) -> tuple[NodeId, ...]:
        """Return the peers with an established link."""
        return self._peers.list_all()

    def list_endpoints(self) -> list[Endpoint]:
        """Return all endpoints of the configuration."""
        return list_endpoints(self.configuration)

    def find_watched(self) -> list[Endpoint]:
        """Return the endpoints that this node should poll."""
        return self.membership.find_watched(self.list_endpoints())

    def find_followed(self) -> list[Endpoint]:
        """Return the endpoints whose cache events this node should follow."""
        return self.membership.find_followed(self.list_endpoints())

    def handle(self, event: CoreEvent, now_ms: float) -> list[CoreAction]:
        """Process one event and return the actions to carry out, in order."""
        actions = list(self._handle(event, now_ms))
        if self.configuration.version != self._applied_version:
            self._applied_version = self.configuration.version
            self.flow.apply_configuration(self.configuration)
        return actions

    def _handle(self, event: CoreEvent, now_ms: float) -> Iterator[CoreAction]:
        match event:
            case (
                RequestArrived()
                | RequestTurnedAway()
                | CallerLeft()
                | FirstTokenSeen()
                | DispatchFinished()
            ):
                yield from self._handle_request(event, now_ms)
            case (
                LogRead()
                | LogExpired()
                | LogReadRestarted()
                | LogStateSeen()
                | AppendSettled()
            ):
                yield from self._handle_log(event, now_ms)
            case VmsRead(vms=vms):
                self._update_node_count(vms)
                read = VmListRead(vms)
                yield from self._apply_membership(
                    self.membership.handle(read, now_ms), now_ms
                )
            case LinksChanged(peers=peers):
                changed = self._peers.change(peers, now_ms)
                yield from self._apply_claims(
                    self.claims.handle(changed, now_ms), now_ms
                )
            case MessageRead():
                yield from self._handle_message(event, now_ms)
            case PatchSubmitted():
                yield from self.synchronizer.submit(event, now_ms)
            case TickPassed():
                yield from self._tick(now_ms)
            case DrainBegun(address=address):
                self.membership.handle(NodeLeaves(address), now_ms)
                yield from self.order_runner.leases.release(now_ms)
                self._is_draining = True
            case HandoverBegun():
                yield from self._apply_claims(self.claims.handle(event, now_ms), now_ms)
            case _:
                yield from self._handle_endpoint(event, now_ms)

    def _handle_request(
        self,
        event: RequestArrived
        | RequestTurnedAway
        | CallerLeft
        | FirstTokenSeen
        | DispatchFinished,
        now_ms: float,
    ) -> Iterator[CoreAction]:
        match event:
            case RequestArrived(request=request):
                yield from _to_core(self.flow.handle_arrival(request, now_ms))
            case RequestTurnedAway():
                self.flow.records.record_rejected(event, now_ms)
            case CallerLeft(request_id=request_id):
                yield from _to_core(self.flow.handle_caller_left(request_id, now_ms))
            case FirstTokenSeen():
                self.flow.record_first_token(event.request_id, event.after_ms, now_ms)
            case DispatchFinished(outcome=outcome):
                yield from _to_core(self.flow.end_dispatch(outcome, now_ms))

    def _handle_log(
        self,
        event: LogRead | LogExpired | LogReadRestarted | LogStateSeen | AppendSettled,
        now_ms: float,
    ) -> Iterator[CoreAction]:
        match event:
            case LogRead():
                yield from self.synchronizer.read_log(event, now_ms)
                self.order_runner.read_log(event, now_ms)
                read = ClaimRecordsRead(
                    event.from_offset, event.next_offset, event.records
                )
                yield from self._apply_claims(self.claims.handle(read, now_ms), now_ms)
            case LogExpired(oldest=oldest):
                self.log.handle_expired(oldest)
                self.order_runner.leases.handle_expired()
            case LogReadRestarted():
                self.log.restart_reading()
            case LogStateSeen(is_up=is_up):
                state = LogState(is_up)
                yield from self._apply_claims(self.claims.handle(state, now_ms), now_ms)
            case AppendSettled():
                yield from self._settle(event, now_ms)

    def _update_node_count(self, vms: Sequence[Vm]) -> None:
        """Update the number of nodes that share the endpoints, including this one."""
        names = {vm.name for vm in vms if vm.runs == "node"}
        count = len(names | {self.identity.node})
        if count != self._node_count:
            self._node_count = count
            self.flow.apply_node_count(count)

    def _settle(self, event: AppendSettled, now_ms: float) -> Iterator[CoreAction]:
        claimed: list[str] = []
        for record_id in event.record_ids:
            if self.synchronizer.owns(record_id):
                yield from self.synchronizer.handle_append_result(
                    record_id, event.result, now_ms
                )
            elif not self.order_runner.owns(record_id):
                claimed.append(record_id)
        if claimed:
            settled = RecordsSettled(tuple(claimed), event.result)
            yield from self._apply_claims(self.claims.handle(settled, now_ms), now_ms)

    def _handle_message(
        self, event: MessageRead, now_ms: float
    ) -> Iterator[CoreAction]:
        message = event.message
        match message:
            case Digest():
                arrived = DigestArrived(event.sender.node, message)
                yield from self._apply_membership(
                    self.membership.handle(arrived, now_ms), now_ms
                )
            case ConfigurationRequest() | ConfigurationDelta() | ConfigurationOffer():
                yield from self.synchronizer.read_message(
                    event.sender.node, message, now_ms
                )
            case SnapshotRequest() | SnapshotPart() | SnapshotBusy():
                yield from self.snapshots.handle(event.sender.node, message, now_ms)
            case _:
                key_message = PeerMessageArrived(event.sender, message)
                yield from self._apply_claims(
                    self.claims.handle(key_message, now_ms), now_ms
                )

    def _handle_endpoint(
        self,
        event: LoadRead
        | CacheEventsRead
        | CacheDumpRead
        | EndpointPollFailed
        | StateRead
        | OrderEnded,
        now_ms: float,
    ) -> Iterator[CoreAction]:
        match event:
            case LoadRead(endpoint=endpoint, report=report):
                reported = EndpointReported(
                    endpoint, report.incarnation, event.asked_ms
                )
                yield from self._apply_membership(
                    self.membership.handle(reported, now_ms), now_ms
                )
                self.placement.apply_load(endpoint, report, now_ms)
                self.directory.record_weights(endpoint, report.weights_version)
            case CacheEventsRead(endpoint=endpoint, events=events):
                self.placement.apply_cache_events(endpoint, events, now_ms)
            case CacheDumpRead(endpoint=endpoint, dump=dump):
                self.placement.apply_cache_dump(endpoint, dump, now_ms)
            case StateRead():
                self.order_runner.record_state(
                    event.endpoint, event.state, event.asked_ms
                )
            case OrderEnded(sent=sent, outcome=outcome):
                self.order_runner.record_outcome(sent, outcome, now_ms)
            case EndpointPollFailed(endpoint=endpoint):
                self.directory.record_failure(endpoint, now_ms)

    def _tick(self, now_ms: float) -> Iterator[CoreAction]:
        yield from _to_core(self.flow.tick(now_ms))
        yield from self._apply_claims(self.claims.handle(Ticked(), now_ms), now_ms)
        yield from self._apply_membership(
            self.membership.handle(MembershipTicked(), now_ms), now_ms
        )
        yield from self.synchronizer.tick(now_ms)
        yield from self._tick_order_runner(now_ms)
        yield from self.snapshots.tick(self._peers.find_names(), now_ms)
        yield from self._dumps.tick(self.configuration, now_ms)

    def _tick_order_runner(self, now_ms: float) -> Iterator[CoreAction]:
        if self._is_draining:
            return
        nodes = [NodeName(vm.name) for vm in self.membership.find_nodes()]
        may_order = self.log.compute_permissions(now_ms).may_order
        yield from self.order_runner.tick(
            self.configuration,
            nodes,
            may_order,
            now_ms,
            self.membership.find_unusable,
        )

    def _apply_claims(
        self, actions: Sequence[ClaimAction], now_ms: float
    ) -> Iterator[CoreAction]:
        yield from _to_core(self.flow.apply_claims(actions, now_ms))

    def _apply_membership(
        self, actions: Sequence[MembershipAction], now_ms: float
    ) -> Iterator[CoreAction]:
        for action in actions:
            match action:
                case SendDigest(to=to, digest=digest):
                    yield SendMessage(to, digest)
                case EndpointRestarted(endpoint=endpoint, incarnation=incarnation):
                    self.placement.record_incarnation(endpoint, incarnation)
                    self._dumps.schedule_now(now_ms)
                case FetchConfiguration():
                    yield from self.synchronizer.fetch(action)
                case PeerConfirmed():
                    self.synchronizer.confirm(action, now_ms)


def _to_core(actions: Iterator[FlowAction]) -> Iterator[CoreAction]:
    for action in actions:
        match action:
            case SendToPeer(node=node, message=message):
                yield SendMessage(node, message)
            case _:
                yield action
