"""A stand-in for the platform's key-value service.

It implements get, compare-and-swap, leases and watches, lists instances with a lag and counts
calls. It can simulate an outage, slow calls and the loss of responses to writes that took effect.
"""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter
from dataclasses import dataclass

from aiohttp import web

__all__ = ["StoreStandIn", "main"]

_MAX_VALUE_BYTES = 1024 * 1024
_VERSION_HEADER = "X-Version"
_MS_PER_S = 1_000


@dataclass(slots=True)
class _Entry:
    version: int
    body: bytes


@dataclass(slots=True)
class Faults:
    """Simulated faults; `lose_answers` counts the coming writes whose response will be lost."""

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0


class StoreStandIn:
    """Keep values, leases and lists of instances in memory and serve them over HTTP."""

    def __init__(self, list_lag_ms: int = 2_000) -> None:
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._values: dict[str, _Entry] = {}
        self._changed = asyncio.Condition()
        self._lease_deadlines_s: dict[str, float] = {}
        self._instance_history: list[tuple[float, dict[str, str]]] = [(0.0, {})]
        self._list_lag_ms = list_lag_ms

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=_MAX_VALUE_BYTES)
        app.router.add_get("/v1/values/{key:.+}", self._get)
        app.router.add_put("/v1/values/{key:.+}", self._put)
        app.router.add_put("/v1/leases/{name}", self._renew_lease)
        app.router.add_get("/v1/leases", self._list_leases)
        app.router.add_get("/v1/instances", self._list_instances)
        app.router.add_put("/control/instances", self._set_instances)
        app.router.add_put("/control/faults", self._set_faults)
        app.router.add_get("/control/calls", self._get_calls)
        return app

    async def _begin_call(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / _MS_PER_S)
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="down")

    async def _get(self, request: web.Request) -> web.Response:
        waiting = "wait_ms" in request.query
        await self._begin_call("watch" if waiting else "get")
        key = request.match_info["key"]
        if waiting:
            await self._wait_until_newer(
                key, int(request.query["after"]), int(request.query["wait_ms"])
            )
            if self.faults.down:
                raise web.HTTPServiceUnavailable(text="down")
        entry = self._values.get(key)
        if entry is None:
            raise web.HTTPNotFound()
        if waiting and entry.version <= int(request.query["after"]):
            return web.Response(status=204)
        return web.Response(body=entry.body, headers={_VERSION_HEADER: str(entry.version)})

    async def _wait_until_newer(self, key: str, after: int, wait_ms: int) -> None:
        def is_newer() -> bool:
            entry = self._values.get(key)
            return self.faults.down or (entry is not None and entry.version > after)

        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(is_newer), wait_ms / _MS_PER_S)
            except TimeoutError:
                return

    async def _put(self, request: web.Request) -> web.Response:
        await self._begin_call("compare_and_swap")
        key = request.match_info["key"]
        body = await request.read()
        entry = self._values.get(key)
        version = 0 if entry is None else entry.version
        if int(request.headers[_VERSION_HEADER]) != version:
            raise web.HTTPConflict(text=str(version))
        self._values[key] = _Entry(version + 1, body)
        async with self._changed:
            self._changed.notify_all()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.close()
        return web.Response()

    async def _renew_lease(self, request: web.Request) -> web.Response:
        await self._begin_call("lease")
        ttl_s = int(request.query["ttl_ms"]) / _MS_PER_S
        self._lease_deadlines_s[request.match_info["name"]] = (
            asyncio.get_running_loop().time() + ttl_s
        )
        return web.Response()

    async def _list_leases(self, request: web.Request) -> web.Response:
        await self._begin_call("list")
        now_s = asyncio.get_running_loop().time()
        return web.json_response(
            [name for name, deadline_s in self._lease_deadlines_s.items() if deadline_s > now_s]
        )

    async def _list_instances(self, request: web.Request) -> web.Response:
        await self._begin_call("list")
        visible_at_s = asyncio.get_running_loop().time() - self._list_lag_ms / _MS_PER_S
        visible = [
            instances for set_s, instances in self._instance_history if set_s <= visible_at_s
        ]
        return web.json_response(visible[-1] if visible else {})

    async def _set_instances(self, request: web.Request) -> web.Response:
        now_s = asyncio.get_running_loop().time()
        self._instance_history.append((now_s, await request.json()))
        return web.Response()

    async def _set_faults(self, request: web.Request) -> web.Response:
        new_faults = await request.json()
        self.faults = Faults(**new_faults)
        async with self._changed:
            self._changed.notify_all()
        return web.Response()

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


async def _build_app() -> web.Application:
    return StoreStandIn().build_app()


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    web.run_app(_build_app(), host="127.0.0.1", port=arguments.port, print=None)


if __name__ == "__main__":
    main()
