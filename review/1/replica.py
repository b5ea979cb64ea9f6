"""Stand-in of a replica of a model or of a plain service."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from standins import Channel, Headers, Record, Request, Store, find_port, serve

Run = Callable[["Replica", Request, Channel], Awaitable[None]]


class Replica:
    """Registers itself in the store, answers reports and orders, and runs requests."""

    def __init__(
        self,
        name: str,
        host: str,
        service: str,
        store: Store,
        record: Record,
        run: Run,
        model: str = "",
    ) -> None:
        self.name = name
        self.host = host
        self.port = find_port(host)
        self.service = service
        self.model = model
        self.version = 1
        self.orders = 0
        self.fence = -1
        self.holder = ""
        """Who gave the last order that was accepted."""
        self.is_busy = False
        self.state = "ready"
        self.load_s = 0.5
        self.running = 0
        self._sequence = 0
        self._run = run
        self._store = store
        self.record = record

    @property
    def address(self) -> str:
        """Return the address under which it registers."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen and register."""
        self.server = await serve(self.host, self.port, self.handle)
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(1.2)

    def register(self) -> None:
        """Write the entry in the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "s1",
            "slots": 128,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self._sequence,
            "phase": "colocated",
            "models": self.list_models(),
        }
        self._store.publish("keyed.servers", self.name, entry)

    def list_models(self) -> list[dict[str, object]]:
        """Return the loaded weights."""
        if not self.model:
            return []
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def build_headers(self, request: Request, *, is_signed: bool = True) -> Headers:
        """Return the headers of an answer."""
        headers = {
            "X-Attempt-Id": request.headers.get("x-attempt-id", ""),
            "X-Instance-Id": self.name,
            "X-Instance-Load": f"{self.running},0,128",
        }
        if is_signed:
            headers["X-Server-Stamp"] = f"{self.name}.{time.monotonic_ns():x}"
        if self.model:
            headers["X-Weight-Versions"] = str(self.version)
        return headers

    async def handle(self, request: Request, channel: Channel) -> None:
        """Answer one request."""
        headers = self.build_headers(request, is_signed=False)
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            await channel.send(421, {**headers, "X-Not-Executed": "1"})
            return
        match request.path:
            case "/healthz":
                await channel.send(200, headers)
            case "/api/report":
                await self._report(headers, channel)
            case "/api/order":
                await self._order(request, headers, channel)
            case "/api/kv-events":
                wait_s = int(request.headers.get("wait-ms", "0")) / 1000
                await asyncio.sleep(wait_s)
                body = b'{"bootEpoch":1,"nextToken":1,"lost":false,"events":[]}'
                await channel.send(200, headers, body)
            case "/api/kv-list":
                body = b'{"bootEpoch":1,"nextToken":1,"retained":[]}'
                await channel.send(200, headers, body)
            case _:
                await self._execute(request, headers, channel)

    async def _report(self, headers: Headers, channel: Channel) -> None:
        import json

        report = {
            "phase": "colocated",
            "models": self.list_models(),
            "busy": self.is_busy,
            "sequence": self.orders,
            "queued": 0,
            "active": self.running,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "state": self.state,
        }
        await channel.send(200, headers, json.dumps(report).encode())

    async def _order(
        self, request: Request, headers: Headers, channel: Channel
    ) -> None:
        import json

        order = json.loads(request.body)
        status = 202
        if order["fencingToken"] < self.fence:
            status = 412
        elif self.is_busy or order.get("expect", self.orders) != self.orders:
            status = 409
        self.record.write("order", replica=self.name, status=status, **order)
        if status == 202:
            self.fence = order["fencingToken"]
            self.holder = order["holder"]
            self.orders += 1
            self.is_busy = True
            asyncio.get_running_loop().create_task(self._load(order["version"]))
        await channel.send(status, headers, b"{}")

    async def _load(self, version: int) -> None:
        await asyncio.sleep(self.load_s)
        self.version = version
        self.is_busy = False
        self.register()

    async def _execute(
        self, request: Request, headers: Headers, channel: Channel
    ) -> None:
        version = request.headers.get("x-expect-version")
        if self.model and version is not None and version != str(self.version):
            self.record.write(
                "other_version", replica=self.name, has=self.version, expected=version
            )
            await channel.send(421, {**headers, "X-Not-Executed": "1"})
            return
        if self.is_busy:
            await channel.send(503, {**headers, "X-Not-Executed": "1"})
            return
        attempt = request.headers.get("x-attempt-id", "")
        self.record.write("replica_runs", replica=self.name, attempt=attempt)
        self.running += 1
        try:
            await self._run(self, request, channel)
            self.record.write("run_ended", replica=self.name, attempt=attempt)
        except (ConnectionError, OSError) as error:
            self.record.write(
                "run_broken_off", replica=self.name, attempt=attempt, error=repr(error)
            )
            raise
        finally:
            self.running -= 1
