"""A fixture that drives one node's core, with a configuration and a log."""

from __future__ import annotations

import random

import msgspec

from toucanyard.configuration import (
    Customer,
    Endpoint,
    Pool,
    PriorityClass,
    Rule,
    Service,
)
from toucanyard.configuration_records import PatchRecord
from toucanyard.core_events import (
    AppendToLog,
    LogRead,
    LogStateSeen,
    Reply,
    RequestArrived,
)
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    Incarnation,
    NodeName,
    PoolName,
    RequestId,
    ServiceName,
)
from toucanyard.node_core import CoreAction, CoreEvent, NodeCore
from toucanyard.options import ListenOptions, Options, PlatformOptions
from toucanyard.patches import Put
from toucanyard.platform_log import (
    LogRecord,
)
from toucanyard.requests import (
    ModelTarget,
    Repeatability,
    Request,
    ServiceTarget,
    Verdict,
)

CUSTOMER = CustomerName("ferry")
POOL = PoolName("model-pool")
SERVICE = ServiceName("seats")
ANY_PORT = Address("127.0.0.1:0")


def build_endpoint(name: str, port: int) -> Endpoint:
    address = Address(f"127.0.0.1:{port}")
    return Endpoint(EndpointName(name), address, DomainName("north"))


def build_patch(patch_id: str = "first", base: int = 0) -> PatchRecord:
    engines = tuple(
        build_endpoint(f"engine-{number}", 10 + number) for number in range(3)
    )
    services = tuple(
        build_endpoint(f"seats-{number}", 20 + number) for number in range(3)
    )
    put = Put(
        customers=(Customer(CUSTOMER, ("0" * 64,)),),
        pools=(Pool(POOL, "m", "w1", engines),),
        services=(Service(SERVICE, services),),
        rules=(Rule("m", POOL),),
    )
    return PatchRecord(patch_id=patch_id, base=base, put=put)


class CoreWorld:
    """Drives one core; its appends are collected in a list and read back on demand."""

    def __init__(self) -> None:
        listen = ListenOptions(ANY_PORT, ANY_PORT, ANY_PORT)
        options = Options(
            NodeName("node-1"),
            DomainName("north"),
            listen,
            PlatformOptions(ANY_PORT, ANY_PORT),
            ("secret",),
        )
        self.now_ms = 1_000.0
        self.core = NodeCore(options, Incarnation("a"), random.Random(1))
        self.log: list[str] = []
        self.read = 0
        self.replies: dict[RequestId, list[Verdict | None]] = {}
        self.others: list[CoreAction] = []
        self.handle(LogStateSeen(True))
        self.log.append(msgspec.json.encode(build_patch()).decode())
        self.read_log()

    def handle(self, event: CoreEvent) -> None:
        for action in self.core.handle(event, self.now_ms):
            match action:
                case Reply(request_id=request_id, verdict=verdict):
                    self.replies.setdefault(request_id, []).append(verdict)
                case AppendToLog(text=text):
                    self.log.append(text)
                case _:
                    self.others.append(action)

    def read_log(self) -> None:
        texts = self.log[self.read :]
        records = tuple(
            LogRecord(self.read + number, self.now_ms, text)
            for number, text in enumerate(texts)
        )
        start, self.read = self.read, self.read + len(texts)
        event = LogRead(start, self.read, records, self.read, self.now_ms)
        self.handle(event)

    def arrive(
        self,
        name: str,
        repeatability: Repeatability = Repeatability.REPEATABLE,
        key: str = "",
        key_age_ms: float | None = None,
        is_service: bool = False,
        deadline_ms: float = 60_000.0,
    ) -> RequestId:
        request_id = RequestId(name)
        target = (
            ServiceTarget(SERVICE, "POST", "/holds")
            if is_service
            else ModelTarget(POOL, "m", "", "w1", (1, 2, 3), 800, 16)
        )
        request = Request(
            request_id,
            CUSTOMER,
            PriorityClass.CHAT,
            target,
            repeatability,
            self.now_ms,
            deadline_ms,
            1,
            key,
            key_age_ms,
            b"digest",
        )
        self.handle(RequestArrived(request))
        return request_id

    def find_last(self, request_id: RequestId) -> Verdict | None:
        return self.replies[request_id][-1]
