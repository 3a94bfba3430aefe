"""The administration API of an instance: any instance serves it for the whole fleet."""

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

_BEARER = "Bearer "
_WRITE_TRIES = 5
_WRITE_PAUSE_S = 0.2
_RETRY_AFTER_MS = 1_000
_PING_WAIT_S = 0.3
_MAX_BODY_BYTES = 2_000_000
_log = structlog.get_logger("administration")


class ChangeRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of a change: a document, or a JSON patch (RFC 6902)."""

    why: str
    based_on: int | None = None
    document: Any = None
    patch: list[dict[str, Any]] | None = None
    change_id: str = ""


class _RefusedError(Exception):
    """Carry a refusal and its extra members to the response."""

    def __init__(self, refusal: Refusal, extra: dict[str, Any] | None = None) -> None:
        super().__init__(refusal.reason.name)
        self.refusal = refusal
        self.extra = extra or {}


class AdminApi:
    """Check operators, write changes and show what is in force."""

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
        """Add the API's routes."""
        app.router.add_get("/admin/v1/manifest", self._wrap(self._show_manifest))
        app.router.add_put("/admin/v1/manifest", self._wrap(self._change_manifest))
        app.router.add_get("/admin/v1/history", self._wrap(self._show_history))
        app.router.add_get("/admin/v1/status", self._wrap(self._show_status))
        app.router.add_post("/admin/v1/instances/{name}/forget", self._wrap(self._forget))

    def _wrap(self, handler: Any) -> Any:
        async def handle(request: web.Request) -> web.Response:
            request_id = secrets.token_hex(8)
            try:
                operator = self._authenticate(request)
                result = await handler(request, operator)
            except _RefusedError as error:
                self._metrics.count(f"refused.{error.refusal.reason.name}")
                return build_problem_response(error.refusal, request_id, extensions=error.extra)
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
        key = header[len(_BEARER) :] if header.startswith(_BEARER) else ""
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
            wanted = msgspec.json.decode(body, type=ChangeRequest)
        except msgspec.MsgspecError as error:
            raise _RefusedError(refuse(refusals.BAD_REQUEST, detail=str(error))) from None
        change = Change(
            change_id=wanted.change_id or secrets.token_hex(8),
            why=wanted.why,
            when_ms=self._clock.wall_ms(),
            based_on=wanted.based_on,
            document=wanted.document,
            patch=wanted.patch,
        )
        revision = await self._write_change(change, operator)
        _log.info("changed", revision=revision, who=operator.name, why=change.why)
        self._metrics.count("changes")
        return {"revision": revision, "change_id": change.change_id}

    async def _write_change(self, change: Change, operator: Operator) -> int:
        """Write a change once, however many answers are lost on the way.

        Every try writes on the head that it read. A try whose answer is lost shows in the next
        head, or can no longer take effect once another write has.
        """
        unanswered = False
        for _ in range(_WRITE_TRIES):
            try:
                head, value = await self._read_head()
                done = None if value is None else find_revision(value, change.change_id)
                if done is not None:
                    self._control.apply_manifest(head, value)
                    return done.revision
                accepted = _require_accepted(prepare_change(head, value, change, operator))
                if await self._store.compare_and_swap(MANIFEST_KEY, head, accepted.value):
                    self._control.apply_manifest(accepted.revision, accepted.value)
                    return accepted.revision
            except StoreTimeoutError:
                unanswered = True
            except StoreError:
                if not unanswered:
                    raise
            await asyncio.sleep(_WRITE_PAUSE_S)
        if unanswered:
            raise _RefusedError(
                refuse(refusals.CHANGE_UNKNOWN, detail=f"look for {change.change_id} in history")
            )
        raise _RefusedError(
            refuse(refusals.CHANGE_CONFLICT, detail="the manifest changes too fast")
        )

    async def _forget(self, request: web.Request, operator: Operator) -> Any:
        if operator.read_only or operator.services != ["*"] or operator.organisations != ["*"]:
            raise _RefusedError(refuse(refusals.OUT_OF_SCOPE))
        name = request.match_info["name"]
        for _ in range(_WRITE_TRIES):
            stored = await self._store.get(LEDGER_KEY)
            ledger = None if stored is None else decode_ledger(stored.value)
            if ledger is None or name not in ledger.holders:
                raise _RefusedError(refuse(refusals.BAD_REQUEST, detail=f"no holder {name!r}"))
            after = forget_holder(ledger, name, operator.name)
            if await self._store.compare_and_swap(LEDGER_KEY, ledger.version, encode_ledger(after)):
                _log.info("forgot", instance=name, who=operator.name)
                return {"version": after.version}
        raise _RefusedError(refuse(refusals.CHANGE_CONFLICT, detail="the ledger changes too fast"))

    async def _read_head(self) -> tuple[int, Any]:
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
