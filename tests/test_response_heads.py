"""Heads of responses are checked as their bytes arrive, however these are divided."""

import pytest

from waxwingshelf.core.response_heads import (
    HeadScanner,
    build_head,
    find_coding_fault,
    find_head_fault,
)

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
FINAL = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
# The bytes of a connection, and how many heads are found well-formed, or what is wrong.
CASES = {
    "final": (FINAL, 1),
    "interim and final": (INTERIM + INTERIM + FINAL, 3),
    "empty lines": (b"\r\n\n" + INTERIM + b"\r\n" + FINAL, 2),
    "line feeds": ((INTERIM + FINAL).replace(b"\r\n", b"\n"), 2),
    "no fields": (b"HTTP/1.1 204\r\n\r\n", 1),
    "head in a body": (FINAL + b"HTTP/1.1 000 X\r\n\r\n", 1),
    "status": (b"HTTP/1.1 000 X\r\n\r\n", "status line b'HTTP/1.1 000 X'"),
    "status behind interim": (INTERIM + b"HTTP/1.1 600\r\n\r\n", "status line b'HTTP/1.1 600'"),
    "name": (b"HTTP/1.1 200 OK\r\nA B: secret\r\n\r\n", "field name b'A B'"),
    "blank before a name": (b"HTTP/1.1 200 OK\r\n A: 1\r\n\r\n", "field name b' A'"),
    "folded line": (b"HTTP/1.1 200 OK\r\nA: 1\r\n\t2\r\n\r\n", "field name b'\\t2'"),
    "no colon": (b"HTTP/1.1 200 OK\r\nA: 1\r\nAB\r\n\r\n", "field name b'AB'"),
    "long status line": (b"x" * 99 + b"\r\n\r\n", f"status line b'{'x' * 60}'"),
}


@pytest.mark.parametrize(
    ("codings", "is_chunked", "is_decodable"),
    [
        ("", False, True),
        ("identity", False, True),
        ("chunked", True, True),
        (" , Chunked", True, True),
        ("chunked", False, False),
        ("gzip,chunked", True, False),
        ("chunked,chunked", True, False),
        ("chunked,gzip", False, False),
        ("gzip", False, False),
    ],
)
def test_body_is_had_only_without_codings_or_in_chunks(codings, is_chunked, is_decodable) -> None:
    assert (find_coding_fault((1, 1), codings, is_chunked) is None) == is_decodable
    assert find_coding_fault((1, 0), codings, is_chunked) is not None


def scan_parts(parts):
    scanner = HeadScanner()
    scanner.start()
    for part in parts:
        fault = scanner.scan(part)
        if fault is not None:
            return fault
    heads = 0
    while scanner.take_checked():
        heads += 1
    return heads


@pytest.mark.parametrize("case", sorted(CASES))
def test_heads_are_found_in_any_division_of_the_bytes(case) -> None:
    data, expected = CASES[case]
    assert scan_parts([data]) == expected
    assert scan_parts([data[i : i + 1] for i in range(len(data))]) == expected
    for position in range(len(data)):
        assert scan_parts([data[:position], data[position:]]) == expected


def test_head_that_was_taken_apart_is_put_together() -> None:
    head = b"HTTP/1.0 099 N\xc3\xb6\xff\r\nA: 1\r\nB: \r\n\r\n"
    reason = b"N\xc3\xb6\xff".decode(errors="surrogateescape")
    assert build_head((1, 0), 99, reason, [(b"A", b"1"), (b"B", b"")]) == head
    assert find_head_fault(head) == r"status line b'HTTP/1.0 099 N\xc3\xb6\xff'"
