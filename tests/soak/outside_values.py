"""Another writer of the store and callers whose values are out of all bounds, during the soak."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any

from tests.soak.deployment import HOST, Process, SoakDeployment
from waxwingshelf.platform.documents import (
    make_listed_member_key,
    make_member_key,
    make_quarantine_key,
    make_target_key,
)

__all__ = ["OutsideWriter"]

_NAME = "foreign"
_NUMBERS = (-1, 0, 2**31, 2**53 + 1, 2**63, 2**64 - 1, 2**64, 10**30, 10**400, 1e300, 5e-324)
_TEXTS = ("", "x", "²", "127.0.0.1:99999999", "::1:80", "\ud800", "x" * 5_000)
_OPAQUE = (b"\xe9", b"\xff\xfe", b"Bra\xbaov", b"\xed\xb3\xa9", b"a\xa0b", "²".encode())
_HEADERS = ("Attempt-Id", "Affinity-Key", "Host", "Credential", "Deadline-Ms")
_ANSWER_TIMEOUT_S = 3.0


class OutsideWriter:
    """Put and remove entries of other writers, and send heads of any bytes.

    `unexpected` has the responses that no head may get.
    """

    def __init__(self, seed: int, deployment: SoakDeployment) -> None:
        self._rng = random.Random(f"outside {seed}")
        self._deployment = deployment
        self.unexpected: list[str] = []

    async def run(self) -> None:
        """Write and send until cancelled, then remove the entries."""
        try:
            while True:
                self._put_entry()
                await self._send_head(self._rng.choice(self._deployment.processes))
                await asyncio.sleep(self._rng.uniform(0.0, 0.1))
                if self._rng.random() < 0.3:
                    self.remove_entries()
        finally:
            self.remove_entries()

    def remove_entries(self) -> None:
        """Remove all entries that were put, also those that an older copy of the store has."""
        for key in list(self._deployment.store.items):
            if _NAME in key:
                self._deployment.store.delete(key)

    def _put_entry(self) -> None:
        key, document = self._rng.choice(self._list_entries())
        place = self._rng.choice([entry for entry in _list_objects(document) if entry])
        name = self._rng.choice(list(place))
        place[name] = self._rng.choice((*_NUMBERS, *_TEXTS, None, [], {}))
        self._deployment.store.put(key, document)

    def _list_entries(self) -> list[tuple[str, dict[str, Any]]]:
        target = {
            "address": f"{HOST}:9",
            "information": {"service": "work", "zone": "north-1", "slots": 4, "version": "v1"},
            "status": {"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
            "born": 0,
        }
        member = {
            "name": _NAME,
            "region": "north",
            "failure_domain": "north-1",
            "host": HOST,
            "beat_port": 9,
            "state_port": 9,
            "caller_address": f"{HOST}:9",
        }
        quarantine = {"began_ms": 1, "lifted": False, "trials": 0, "suspected_ms": 0}
        number = self._rng.randrange(4)
        return [
            (make_target_key(f"{_NAME}-{number}"), target),
            (make_member_key(_NAME), member),
            (make_listed_member_key(_NAME), member),
            (make_quarantine_key(f"{_NAME}{number}"), quarantine),
        ]

    async def _send_head(self, process: Process) -> None:
        values = {"Host": b"a.example", "Attempt-Id": b"raw", "Credential": b"key"}
        values[self._rng.choice(_HEADERS)] = self._rng.choice(_OPAQUE)
        lines = b"".join(b"%b: %b\r\n" % (name.encode(), value) for name, value in values.items())
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(process.host, process.ports[0])
                try:
                    writer.write(b"GET /read/x HTTP/1.1\r\n%bConnection: close\r\n\r\n" % lines)
                    status_line = await reader.readline()
                finally:
                    writer.close()
            if b" 500 " in status_line:
                self.unexpected.append(f"{values}: {status_line!r}")


def _list_objects(document: dict[str, Any]) -> list[dict[str, Any]]:
    """Return a document and the objects in it."""
    return [document, *(value for value in document.values() if isinstance(value, dict))]
