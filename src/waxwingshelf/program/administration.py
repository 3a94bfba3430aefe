"""The administration API; every instance serves it for the whole fleet."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any

import msgspec
import structlog
from aiohttp import web
from msgspec import Struct

from waxwingshelf.core import refusals
from waxwingshelf.core.changes import (
    Accepted,
    Change,
    Conflict,
    Invalid,
    OutOfScope,
    find_revision,
    list_revisions,
    prepare_change,
)
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.config import Revision, find_operator
from waxwingshelf.core.ledger import decode_ledger, encode_ledger, forget_holder
from waxwingshelf.core.manifest import Operator
from waxwingshelf.core.refusals import Refusal, refuse
from waxwingshelf.ports import Metrics, Store, StoreError, StoreTimeoutError
from waxwingshelf.program.bodies import BodyReader
from waxwingshelf.program.control import LEDGER_KEY, MANIFEST_KEY, ControlPlane
from waxwingshelf.program.problems import build_problem_response
from waxwingshelf.program.settings import Settings
from waxwingshelf.program.status import build_status

__all__ = ["AdminApi"]

_BEARER_PREFIX = "Bearer "
_MAX_WRITE_ATTEMPTS = 5
_WRITE_RETRY_DELAY_S = 0.2
_RETRY_AFTER_MS = 1_000
_PING_WAIT_S = 0.3
_MAX_BODY_BYTES = 2_000_000
_log = structlog.get_logger("administration")


class ChangeRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of a change request: a manifest document or a JSON patch (RFC 6902)."""

    why: str
    based_on: int | None = None
    document: Any = None
    patch: list[dict[str, Any]] | None = None
    change_id: str = ""


class _RefusedError(Exception):
    """Raised if a request is refused; `extensions` are added to the problem document."""

    def __init__(self, refusal: Refusal, extensions: dict[str, Any] | None = None) -> None:
        super().__init__(refusal.reason.name)
        self.refusal = refusal
        self.extensions = extensions or {}


class AdminApi:
    """Authenticate operators, write their changes and report the state of the fleet."""

    def __init__(
        self,
        settings: Settings,
        control: ControlPlane,
        store: Store,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._control = control
        self._store = store
        self._clock = clock
        self._metrics = metrics

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the API to an application."""
        app.router.add_get("/admin/v1/manifest", self._build_handler(self._show_manifest))
        app.router.add_put("/admin/v1/manifest", self._build_handler(self._change_manifest))
        app.router.add_get("/admin/v1/history", self._build_handler(self._show_history))
        app.router.add_get("/admin/v1/status", self._build_handler(self._show_status))
        app.router.add_post(
            "/admin/v1/instances/{name}/forget", self._build_handler(self._forget_instance)
        )

    def _build_handler(self, handler: Any) -> Any:
        """Add operator authentication and error responses to a request handler."""

        async def handle(request: web.Request) -> web.Response:
            request_id = secrets.token_hex(8)
            try:
                operator = self._authenticate(request)
                result = await handler(request, operator)
            except _RefusedError as error:
                self._metrics.count(f"refused.{error.refusal.reason.name}")
                return build_problem_response(
                    error.refusal, request_id, extensions=error.extensions
                )
            except StoreError as error:
                self._metrics.count(f"refused.{refusals.STORE_UNAVAILABLE.name}")
                refusal = refuse(
                    refusals.STORE_UNAVAILABLE,
                    peer=error.peer,
                    detail=str(error),
                    retry_after_ms=_RETRY_AFTER_MS,
                )
                return build_problem_response(refusal, request_id)
            return web.json_response(body=msgspec.json.encode(result))

        return handle

    def _authenticate(self, request: web.Request) -> Operator:
        header = request.headers.get("Authorization", "")
        key = header[len(_BEARER_PREFIX) :] if header.startswith(_BEARER_PREFIX) else ""
        operator = find_operator(
            self._control.config, key, self._settings.bootstrap_operator_digest
        )
        if operator is None:
            raise _RefusedError(refuse(refusals.OPERATOR_KEY_INVALID))
        return operator

    async def _show_manifest(self, request: web.Request, operator: Operator) -> Any:
        head, value = await self._read_head()
        return {"revision": head, "document": (value or {}).get("document", {})}

    async def _show_history(self, request: web.Request, operator: Operator) -> Any:
        _, value = await self._read_head()
        return {"revisions": list_revisions(value or {})}

    async def _show_status(self, request: web.Request, operator: Operator) -> Any:
        self._control.ping_all()
        await asyncio.sleep(_PING_WAIT_S)
        return build_status(self._control, self._clock.now_ms(), "shares" in request.query)

    async def _change_manifest(self, request: web.Request, operator: Operator) -> Any:
        body = await BodyReader(request, _MAX_BODY_BYTES).read()
        if isinstance(body, Refusal):
            raise _RefusedError(body)
        try:
            change_request = msgspec.json.decode(body, type=ChangeRequest)
        except msgspec.MsgspecError as error:
            raise _RefusedError(refuse(refusals.BAD_REQUEST, detail=str(error))) from None
        change = Change(
            change_id=change_request.change_id or secrets.token_hex(8),
            why=change_request.why,
            when_ms=self._clock.wall_ms(),
            based_on=change_request.based_on,
            document=change_request.document,
            patch=change_request.patch,
        )
        revision = await self._write_change(change, operator)
        _log.info("changed", revision=revision, who=operator.name, why=change.why)
        self._metrics.count("changes")
        return {"revision": revision, "change_id": change.change_id}

    async def _write_change(self, change: Change, operator: Operator) -> int:
        """Write a change at most once, even if responses of the key-value service are lost.

        Each attempt writes only if the head is still the one that it read. An attempt whose
        response is lost either shows in the next head, or can no longer take effect once another
        write has succeeded.
        """
        outcome_unknown = False
        for _ in range(_MAX_WRITE_ATTEMPTS):
            try:
                head, value = await self._read_head()
                existing = None if value is None else find_revision(value, change.change_id)
                if existing is not None:
                    self._control.apply_manifest(head, value)
                    return existing.revision
                accepted = _require_accepted(prepare_change(head, value, change, operator))
                if await self._store.compare_and_swap(MANIFEST_KEY, head, accepted.value):
                    self._control.apply_manifest(accepted.revision, accepted.value)
                    return accepted.revision
            except StoreTimeoutError:
                outcome_unknown = True
            except StoreError:
                if not outcome_unknown:
                    raise
            await asyncio.sleep(_WRITE_RETRY_DELAY_S)
        if outcome_unknown:
            raise _RefusedError(
                refuse(
                    refusals.CHANGE_UNKNOWN,
                    detail=f"check the history for change {change.change_id}",
                )
            )
        raise _RefusedError(
            refuse(
                refusals.CHANGE_CONFLICT, detail="the manifest changed during every write attempt"
            )
        )

    async def _forget_instance(self, request: web.Request, operator: Operator) -> Any:
        if operator.read_only or operator.services != ["*"] or operator.organisations != ["*"]:
            raise _RefusedError(refuse(refusals.OUT_OF_SCOPE))
        name = request.match_info["name"]
        for _ in range(_MAX_WRITE_ATTEMPTS):
            stored = await self._store.get(LEDGER_KEY)
            ledger = None if stored is None else decode_ledger(stored.value)
            if ledger is None or name not in ledger.holders:
                raise _RefusedError(
                    refuse(
                        refusals.BAD_REQUEST,
                        detail=f"the ledger does not list an instance {name!r}",
                    )
                )
            updated = forget_holder(ledger, name, operator.name)
            if await self._store.compare_and_swap(
                LEDGER_KEY, ledger.version, encode_ledger(updated)
            ):
                _log.info("instance_forgotten", instance=name, who=operator.name)
                return {"version": updated.version}
        raise _RefusedError(
            refuse(refusals.CHANGE_CONFLICT, detail="the ledger changed during every write attempt")
        )

    async def _read_head(self) -> tuple[int, Any]:
        """Return the latest revision and its stored value, or (0, None) before the first write."""
        stored = await self._store.get(MANIFEST_KEY)
        return (0, None) if stored is None else (stored.version, stored.value)


def _require_accepted(outcome: object) -> Accepted:
    if isinstance(outcome, Accepted):
        return outcome
    if isinstance(outcome, Invalid):
        raise _RefusedError(
            refuse(refusals.MANIFEST_INVALID, detail=str(outcome.faults[0])),
            {"faults": outcome.faults},
        )
    if isinstance(outcome, OutOfScope):
        raise _RefusedError(
            refuse(refusals.OUT_OF_SCOPE, detail=", ".join(outcome.paths)),
            {"paths": outcome.paths},
        )
    assert isinstance(outcome, Conflict)
    conflicting_revisions = [
        _describe_revision(revision) for revision in outcome.conflicting_revisions
    ]
    raise _RefusedError(
        refuse(refusals.CHANGE_CONFLICT, detail=", ".join(outcome.paths)),
        {"head": outcome.head, "paths": outcome.paths, "theirs": conflicting_revisions},
    )


def _describe_revision(revision: Revision) -> dict[str, Any]:
    return {
        "revision": revision.revision,
        "who": revision.who,
        "when_ms": revision.when_ms,
        "why": revision.why,
        "based_on": revision.based_on,
    }
