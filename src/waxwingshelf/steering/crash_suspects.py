"""Find the request that crashes targets among those that were there when targets crashed.

The load pattern that this answers: one request crashes each target that runs it and is sent again
at any instance, beside harmless requests that run at the same targets. The request is at every
crash that it causes and is never answered. A harmless one that is retried may meet it at several
targets, but not at all of them, and is answered sooner or later.

So a request is deadly once it was at some crashes, was not answered since, and no other suspect was
at all the same crashes. Crashes at which a deadly request was say nothing of others.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Set

import msgspec

__all__ = ["AnsweredRequests", "CrashSuspects", "DeadlyRequest", "TargetCrash"]

_MIN_CRASHES = 3
# Reports of one crash come from all instances that had requests there.
_SETTLE_MS = 300
# A target that restarts under its id has the name of its earlier run until its entry is known. It
# is down for longer than this.
_SAME_CRASH_MS = 1_000
_MAX_CRASH_AGE_MS = 300_000
_MAX_CRASHES = 512
_MAX_ANSWERED = 8_192


class TargetCrash(msgspec.Struct, frozen=True):
    """The end of one run of a target, and the fingerprints of the requests lost with it."""

    target_run: str
    fingerprints: frozenset[str]


class DeadlyRequest(msgspec.Struct, frozen=True):
    """A request that crashes targets; `first_crash_ms` is when the first crash was reported."""

    fingerprint: str
    target_runs: frozenset[str]
    first_crash_ms: int


class AnsweredRequests:
    """The requests that targets have answered lately, by fingerprint."""

    __slots__ = ("_answered_ms",)

    def __init__(self) -> None:
        self._answered_ms: OrderedDict[str, int] = OrderedDict()

    def record(self, fingerprint: str, now_ms: int) -> None:
        """Record an answer; forget the oldest beyond a limit."""
        self._answered_ms[fingerprint] = now_ms
        self._answered_ms.move_to_end(fingerprint)
        if len(self._answered_ms) > _MAX_ANSWERED:
            self._answered_ms.popitem(last=False)

    def was_answered_since(self, fingerprint: str, since_ms: int) -> bool:
        """Return whether a request is known to have been answered after a time."""
        answered_ms = self._answered_ms.get(fingerprint)
        return answered_ms is not None and answered_ms > since_ms


class CrashSuspects:
    """Reported crashes of targets, and the requests that were there; times are clock readings."""

    __slots__ = (
        "_explained",
        "_last_crashes",
        "_reported_ms",
        "_runs_by_fingerprint",
        "_unsettled_until_ms",
    )

    def __init__(self) -> None:
        self._reported_ms: OrderedDict[str, int] = OrderedDict()
        # The crashes that a deadly request caused, whose further reports may still come.
        self._explained: OrderedDict[str, None] = OrderedDict()
        self._runs_by_fingerprint: dict[str, set[str]] = {}
        # By run: when the last crash under its name was first reported, and how many came before.
        self._last_crashes: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._unsettled_until_ms = 0

    def record_crash(self, crash: TargetCrash, now_ms: int) -> None:
        """Add the report of one instance; several instances may report the same crash."""
        run = self._name_run(crash.target_run, now_ms)
        if run in self._explained:
            return
        if run not in self._reported_ms:
            self._reported_ms[run] = now_ms
            self._forget_old(now_ms)
        for fingerprint in crash.fingerprints:
            self._runs_by_fingerprint.setdefault(fingerprint, set()).add(run)
        self._unsettled_until_ms = now_ms + _SETTLE_MS

    def _name_run(self, target_run: str, now_ms: int) -> str:
        """Return a name of the run that differs for a later crash under the same name."""
        at_ms, crashes = self._last_crashes.pop(target_run, (now_ms, 0))
        if now_ms - at_ms >= _SAME_CRASH_MS:
            at_ms, crashes = now_ms, crashes + 1
        self._last_crashes[target_run] = (at_ms, crashes)
        if len(self._last_crashes) > _MAX_CRASHES:
            self._last_crashes.popitem(last=False)
        return f"{target_run}#{crashes}"

    def is_nearly_deadly(self, fingerprint: str) -> bool:
        """Return whether one more crash may show that a request is deadly."""
        return len(self._runs_by_fingerprint.get(fingerprint, ())) >= _MIN_CRASHES - 1

    def record_answer(self, fingerprint: str) -> bool:
        """Clear a request that was answered; return whether it was a suspect."""
        return self._runs_by_fingerprint.pop(fingerprint, None) is not None

    def is_unsettled(self, now_ms: int) -> bool:
        """Return whether reports of the last crash may still come."""
        return now_ms < self._unsettled_until_ms

    def take_deadly(self, now_ms: int) -> list[DeadlyRequest]:
        """Return the requests that are now known to be deadly; their crashes are accounted for."""
        found: list[DeadlyRequest] = []
        while (deadly := self._find_deadly(now_ms)) is not None:
            found.append(deadly)
            self.explain(deadly.target_runs, deadly.fingerprint)
        return found

    def explain_crash(self, crash: TargetCrash, fingerprint: str, now_ms: int) -> None:
        """Clear all requests of a crash that a known deadly request caused."""
        self.explain(frozenset((self._name_run(crash.target_run, now_ms),)), fingerprint)

    def explain(self, target_runs: frozenset[str], fingerprint: str) -> None:
        """Clear all requests of crashes that a deadly request caused."""
        self._explained.update(dict.fromkeys(target_runs))
        while len(self._explained) > _MAX_CRASHES:
            self._explained.popitem(last=False)
        self._runs_by_fingerprint.pop(fingerprint, None)
        self._clear_runs(target_runs)

    def _clear_runs(self, target_runs: Set[str]) -> None:
        for fingerprint in list(self._runs_by_fingerprint):
            self._runs_by_fingerprint[fingerprint] -= target_runs
            if not self._runs_by_fingerprint[fingerprint]:
                del self._runs_by_fingerprint[fingerprint]

    def _find_deadly(self, now_ms: int) -> DeadlyRequest | None:
        settled = {run for run, at_ms in self._reported_ms.items() if now_ms - at_ms >= _SETTLE_MS}
        settled_runs = {
            fingerprint: frozenset(runs & settled)
            for fingerprint, runs in self._runs_by_fingerprint.items()
        }
        by_most_crashes = sorted(settled_runs, key=lambda name: -len(settled_runs[name]))
        for fingerprint in by_most_crashes:
            runs = settled_runs[fingerprint]
            if len(runs) < _MIN_CRASHES:
                return None
            if not self._is_explained_by_another(fingerprint, runs):
                first_crash_ms = min(self._reported_ms[run] for run in runs)
                return DeadlyRequest(fingerprint, runs, first_crash_ms)
        return None

    def _is_explained_by_another(self, fingerprint: str, runs: frozenset[str]) -> bool:
        return any(
            runs <= other_runs
            for other, other_runs in self._runs_by_fingerprint.items()
            if other != fingerprint
        )

    def _forget_old(self, now_ms: int) -> None:
        while len(self._reported_ms) > _MAX_CRASHES or self._is_oldest_outdated(now_ms):
            run, _ = self._reported_ms.popitem(last=False)
            self._clear_runs({run})

    def _is_oldest_outdated(self, now_ms: int) -> bool:
        oldest_ms = next(iter(self._reported_ms.values()), now_ms)
        return now_ms - oldest_ms > _MAX_CRASH_AGE_MS
