"""Tests of what is read in the headers of targets' responses."""

import pytest

from waxwingshelf.platform.target_responses import (
    decode_idle_timeout,
    decode_target_report,
    parse_load,
    parse_pause,
    parse_rate_limit,
)
from waxwingshelf.steering.target_reports import Load, NamedLimit, TargetReport

OWN = {"Attempt-Id": "id-1"}


@pytest.mark.parametrize(
    ("status", "headers", "report"),
    [
        (200, OWN, TargetReport("t1", limit=NamedLimit())),
        (500, {**OWN, "Server-Leaving": "1"}, TargetReport("t1", None, NamedLimit(), True)),
        (200, {**OWN, "Server-Leaving": "0"}, TargetReport("t1", None, NamedLimit())),
        (
            503,
            {"Not-Executed": "1", "Retry-After": "2"},
            TargetReport("t1", None, NamedLimit(), pause_ms=2_000),
        ),
        # Other statuses ask the caller to wait, not this instance.
        (429, {"Not-Executed": "1", "Retry-After": "2"}, TargetReport("t1", None, NamedLimit())),
        (200, {"Attempt-Id": "id-2", "Server-Leaving": "1"}, None),
        (200, {"Server-Leaving": "1"}, None),
        (421, {"Server-Leaving": "1"}, None),
        (421, {"Server-Leaving": "1", "Instance-Id": "t2"}, TargetReport("t2", leaving=True)),
    ],
)
def test_response_is_read_only_if_its_sender_is_certain(status, headers, report) -> None:
    assert decode_target_report(status, headers, "t1", "id-1") == report


@pytest.mark.parametrize(
    ("text", "pause_ms"),
    [
        (None, 0),
        ("3", 3_000),
        (" 0.25 ", 250),
        ("0", 0),
        ("-1", 0),
        ("soon", 0),
        ("nan", 0),
        ("inf", 0),
        ("Fri, 04 Dec 2026 09:00:00 GMT", 0),
        ("1e9", 600_000),
    ],
)
def test_pause_is_bounded_and_ignored_if_malformed(text, pause_ms) -> None:
    assert parse_pause(text, "t1") == pause_ms


@pytest.mark.parametrize(
    ("text", "idle_timeout_ms"),
    [
        (None, None),
        ("timeout=3", 3_000),
        ("max=100, timeout=10", 10_000),
        ("Timeout = 2; max=5", 2_000),
        ("timeout=x", None),
        ("mytimeout=4", None),
    ],
)
def test_idle_timeout_is_parsed(text, idle_timeout_ms) -> None:
    headers = {} if text is None else {"Keep-Alive": text}
    assert decode_idle_timeout(headers) == idle_timeout_ms


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,9", Load(3, 1, 9)),
        ("", None),
        (None, None),
        ("3,1", None),
        ("a,b,c", None),
        ("2,0,3,140", Load(2, 0, 3, 1.4)),
        # The figures that are known still count beside one that is not.
        ("2,0,3,fast", Load(2, 0, 3)),
        ("2,0,3,0", Load(2, 0, 3)),
        ("2,0,\u00b2,100", None),
        ("2,0,3,-5", Load(2, 0, 3)),
        ("2,0,3,140,later", Load(2, 0, 3, 1.4)),
    ],
)
def test_load_header_is_parsed_or_ignored(text, load) -> None:
    assert parse_load(text) == load


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        (None, NamedLimit(None)),
        ("4.6", NamedLimit(4.6)),
        ("0", NamedLimit(0.0)),
        (" 3 ", NamedLimit(3.0)),
        ("", None),
        ("many", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
    ],
)
def test_rate_limit_of_a_target_is_parsed(text: str | None, limit: NamedLimit | None) -> None:
    assert parse_rate_limit(text, "t1") == limit
