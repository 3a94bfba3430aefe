"""Answer callers that ask which instances to use."""

from __future__ import annotations

import ipaddress
import random
from typing import Any

import msgspec
from aiohttp import web

from waxwingshelf.core import refusals
from waxwingshelf.core.claims import build_id_prefix
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.config import Config
from waxwingshelf.core.lookup import list_candidates, order_candidates
from waxwingshelf.core.refusals import refuse
from waxwingshelf.ports import Metrics
from waxwingshelf.program.control import ControlPlane
from waxwingshelf.program.problems import build_problem_response

__all__ = ["LookupHandler"]

_MOST = 4
_VARIANTS = 8
_CACHE_MS = 100
_MS_PER_S = 1_000
_RETRY_AFTER_MS = 1_000


class LookupHandler:
    """Keep ready answers for a moment, several for each region so that callers spread out."""

    def __init__(
        self, control: ControlPlane, clock: Clock, metrics: Metrics, local_region: str
    ) -> None:
        self._control = control
        self._clock = clock
        self._metrics = metrics
        self._home = local_region
        self._rng = random.Random(local_region)
        self._cache: dict[tuple[str, str], list[bytes]] = {}
        self._built_ms = -_CACHE_MS

    async def handle(self, request: web.Request) -> web.Response:
        """Answer `GET /v1/instances?service=NAME`."""
        config = self._control.config
        service = request.query.get("service", "")
        if config is None:
            return self._refuse(refusals.NOT_READY)
        if service not in config.manifest.services:
            return self._refuse(refusals.SERVICE_UNKNOWN)
        self._metrics.count("lookups")
        variants = self._find_variants(config, service, self._find_region(config, request))
        ttl_s = config.manifest.fleet.lookup_ttl_ms // _MS_PER_S
        return web.Response(
            body=self._rng.choice(variants),
            content_type="application/json",
            headers={"Cache-Control": f"public, max-age={ttl_s}"},
        )

    def _find_region(self, config: Config, request: web.Request) -> str:
        wanted = request.query.get("region", "")
        if wanted in config.manifest.regions:
            return wanted
        try:
            address = int(ipaddress.IPv4Address(request.remote or ""))
        except ValueError:
            return self._home
        return config.block_table.find_region(address) or self._home

    def _find_variants(self, config: Config, service: str, region: str) -> list[bytes]:
        now_ms = self._clock.now_ms()
        if now_ms - self._built_ms >= _CACHE_MS:
            self._cache.clear()
            self._built_ms = now_ms
        variants = self._cache.get((service, region))
        if variants is None:
            variants = [self._build(config, service, region) for _ in range(_VARIANTS)]
            self._cache[service, region] = variants
        return variants

    def _build(self, config: Config, service: str, region: str) -> bytes:
        state = self._control.state
        wall_ms = self._clock.wall_ms()
        stopping = config.list_stopping("instance", wall_ms)
        candidates = list_candidates(state.membership, stopping)
        ordered = order_candidates(candidates, config.manifest, region, self._rng, _MOST)
        epoch = 0 if state.ledger is None else state.ledger.version
        document: dict[str, Any] = {
            "service": service,
            "ttl_ms": config.manifest.fleet.lookup_ttl_ms,
            "request_id_prefix": build_id_prefix(epoch, region, wall_ms // _MS_PER_S),
            "instances": [
                {
                    "name": candidate.name,
                    "address": f"{candidate.host}:{candidate.port}",
                    "region": candidate.region,
                    "failure_domain": candidate.failure_domain,
                }
                for candidate in ordered
            ],
        }
        return msgspec.json.encode(document)

    def _refuse(self, reason: refusals.RefusalReason) -> web.Response:
        self._metrics.count(f"refused.{reason.name}")
        retry_after_ms = _RETRY_AFTER_MS if reason is refusals.NOT_READY else None
        return build_problem_response(refuse(reason, retry_after_ms=retry_after_ms), "")
