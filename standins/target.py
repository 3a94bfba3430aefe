"""A stand-in for a target.

It simulates slots, cold start, drain, shedding and cancellation, and its health and load endpoints
can give false values. It counts runs by idempotency key, or by request id without one, and records
the headers of all requests.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections import Counter
from dataclasses import asdict, dataclass

from aiohttp import web

__all__ = ["Behaviour", "TargetStandIn", "main"]

_MS_PER_S = 1_000
_NOT_RUN_HEADER = "X-Not-Run"


@dataclass(slots=True)
class Behaviour:
    """How the target behaves.

    `mode` is "normal", "hang" (no response for an hour), "cut" (the response is truncated), "error"
    (status 500), "refuse" (status 503, the request is not run) or "crossed" (the response has
    another request's id). The next `cold_requests` requests take `cold_ms` longer. If
    `honest_drain` is false, a draining target reports that it is healthy. `claimed_load` replaces
    the true load in reports.
    """

    slots: int = 4
    work_ms: int = 5
    cold_ms: int = 0
    cold_requests: int = 0
    mode: str = "normal"
    draining: bool = False
    honest_drain: bool = True
    claimed_load: int | None = None


class TargetStandIn:
    """Serve requests for any path by waiting for the work time and echoing request data."""

    def __init__(self, name: str, behaviour: Behaviour | None = None) -> None:
        self.name = name
        self.behaviour = behaviour or Behaviour()
        self.runs: Counter[str] = Counter()
        self.run_times: list[tuple[float, str]] = []
        self.headers_seen: set[str] = set()
        self.header_values_seen: set[str] = set()
        self.in_flight = 0
        self.cancelled = 0
        self.max_in_flight = 0

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/health", self._get_health)
        app.router.add_get("/load", self._get_load)
        app.router.add_get("/control/record", self._get_record)
        app.router.add_put("/control/behaviour", self._set_behaviour)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        return app

    def format_load(self) -> str:
        """Return the reported load as `requests/slots`, the format of the load header."""
        behaviour = self.behaviour
        load = self.in_flight if behaviour.claimed_load is None else behaviour.claimed_load
        return f"{load}/{behaviour.slots}"

    async def _get_health(self, request: web.Request) -> web.Response:
        draining = self.behaviour.draining and self.behaviour.honest_drain
        return web.json_response({"state": "draining" if draining else "healthy"})

    async def _get_load(self, request: web.Request) -> web.Response:
        return web.json_response({"load": self.format_load()})

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        self.headers_seen.update(request.headers.keys())
        self.header_values_seen.update(request.headers.values())
        request_id = request.headers.get("X-Request-Id", "")
        behaviour = self.behaviour
        body = await request.read()
        is_full = self.in_flight >= behaviour.slots
        if behaviour.draining or behaviour.mode == "refuse" or is_full:
            reason = "draining" if behaviour.draining else "full"
            headers = {_NOT_RUN_HEADER: reason, "X-Load": self.format_load()}
            return web.Response(status=503, headers=headers)
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            return await self._run_request(request, request_id, body)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    async def _run_request(
        self, request: web.Request, request_id: str, body: bytes
    ) -> web.StreamResponse:
        behaviour = self.behaviour
        run_id = request.headers.get("Idempotency-Key", request_id)
        self.runs[run_id] += 1
        self.run_times.append((asyncio.get_running_loop().time(), run_id))
        await self._simulate_work()
        if behaviour.mode == "error":
            return web.Response(status=500, headers={"X-Request-Id": request_id})
        echoed_id = "another" if behaviour.mode == "crossed" else request_id
        text = json.dumps(
            {
                "target": self.name,
                "path": request.path_qs,
                "request": echoed_id,
                "organisation": request.headers.get("X-Organisation", ""),
                "body_bytes": len(body),
            }
        )
        headers = {"X-Request-Id": echoed_id, "X-Load": self.format_load()}
        if behaviour.mode == "cut":
            response = web.StreamResponse(headers={**headers, "Content-Length": "100000"})
            await response.prepare(request)
            await response.write(text.encode())
            assert request.transport is not None
            request.transport.close()
            return response
        return web.Response(text=text, headers=headers, content_type="application/json")

    async def _simulate_work(self) -> None:
        behaviour = self.behaviour
        duration_ms = behaviour.work_ms
        if behaviour.cold_requests > 0:
            behaviour.cold_requests -= 1
            duration_ms += behaviour.cold_ms
        if behaviour.mode == "hang":
            duration_ms = 3_600_000
        await asyncio.sleep(duration_ms / _MS_PER_S)

    async def _get_record(self, request: web.Request) -> web.Response:
        now_s = asyncio.get_running_loop().time()
        return web.json_response(
            {
                "runs": dict(self.runs),
                "run_ages_ms": [
                    int((now_s - started_s) * _MS_PER_S) for started_s, _ in self.run_times
                ],
                "headers": sorted(self.headers_seen),
                "values": sorted(self.header_values_seen),
                "in_flight": self.in_flight,
                "most_in_flight": self.max_in_flight,
                "cancelled": self.cancelled,
            }
        )

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        self.behaviour = Behaviour(**{**asdict(self.behaviour), **await request.json()})
        return web.Response()


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--work-ms", type=int, default=5)
    arguments = parser.parse_args()
    behaviour = Behaviour(slots=arguments.slots, work_ms=arguments.work_ms)
    app = TargetStandIn(arguments.name, behaviour).build_app()
    web.run_app(app, host="127.0.0.1", port=arguments.port, print=None, handler_cancellation=True)


if __name__ == "__main__":
    main()
