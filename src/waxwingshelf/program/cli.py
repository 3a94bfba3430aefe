"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import os
import secrets
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from waxwingshelf import __version__
from waxwingshelf.core.config import hash_key
from waxwingshelf.core.manifest import list_faults
from waxwingshelf.program.client import AdminClient, AdminError
from waxwingshelf.program.explain import explain_request, read_log_lines
from waxwingshelf.program.instance import run_instance
from waxwingshelf.program.logs import configure_logging
from waxwingshelf.program.settings import InvalidDocumentError, load_document, load_settings

__all__ = ["main"]

EXIT_OK = 0
EXIT_INVALID = 2
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
EXIT_OUTCOME_UNKNOWN = 6
_KEY_VARIABLE = "WAXWINGSHELF_OPERATOR_KEY"
_KEY_BYTES = 32
_EXIT_BY_REASON = {
    "manifest_invalid": EXIT_INVALID,
    "bad_request": EXIT_INVALID,
    "change_conflict": EXIT_CONFLICT,
    "store_unavailable": EXIT_UNAVAILABLE,
    "change_unknown": EXIT_OUTCOME_UNKNOWN,
}

Command = Callable[[argparse.Namespace], int]
_COMMANDS: dict[str, Command] = {}


def _command(name: str) -> Callable[[Command], Command]:
    def add(command: Command) -> Command:
        _COMMANDS[name] = command
        return command

    return add


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = _build_parser().parse_args(arguments)
    try:
        return _COMMANDS[options.command](options)
    except InvalidDocumentError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    except AdminError as error:
        _print_problem(options, error)
        return _EXIT_BY_REASON.get(error.reason, EXIT_REFUSED)


@_command("explain")
def _explain(options: argparse.Namespace) -> int:
    lines = explain_request(options.request, read_log_lines(options.files))
    for line in lines:
        print(msgspec.json.encode(line).decode())
    if not lines:
        print(f"no line of request {options.request}", file=sys.stderr)
        return EXIT_REFUSED
    return EXIT_OK


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="waxwingshelf", description="Global traffic steering.")
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run an entry instance")
    serve.add_argument("--settings", type=Path, required=True)
    serve.set_defaults(command="serve")
    check = commands.add_parser("check", help="check a settings file or a manifest")
    check.add_argument("file", type=Path)
    check.set_defaults(command="check")
    _add_manifest_commands(commands.add_parser("manifest", help="show and change the manifest"))
    _add_entity_commands(commands)
    explain = commands.add_parser("explain", help="gather what the logs say of one request")
    explain.add_argument("request", help="the request's id")
    explain.add_argument("files", type=Path, nargs="+", help="log files of the instances")
    explain.set_defaults(command="explain")
    status = _add_admin(commands, "status", "status", "show what is in force where")
    status.add_argument("--shares", action="store_true", help="show the shares held there")
    return parser


def _add_manifest_commands(parser: argparse.ArgumentParser) -> None:
    group = parser.add_subparsers(required=True, metavar="ACTION")
    apply = _add_admin(group, "apply", "manifest apply", "submit a whole manifest")
    apply.add_argument("file", type=Path)
    apply.add_argument("--based-on", type=int, help="the revision the file was made from")
    apply.add_argument("--why", required=True)
    _add_admin(group, "show", "manifest show", "print the manifest")
    _add_admin(group, "history", "manifest history", "print who changed what")
    diff = _add_admin(group, "diff", "manifest diff", "compare a file with the manifest")
    diff.add_argument("file", type=Path)


def _add_entity_commands(commands: Any) -> None:
    key = commands.add_parser("key", help="issue and withdraw keys").add_subparsers(
        required=True, metavar="ACTION"
    )
    issue = _add_admin(key, "issue", "key issue", "make a key and print it once")
    issue.add_argument("organisation")
    withdraw = _add_admin(key, "withdraw", "key withdraw", "stop a key from working")
    withdraw.add_argument("digest", help="the key's SHA-256 digest in hex")
    target = commands.add_parser("target", help="drain targets").add_subparsers(
        required=True, metavar="ACTION"
    )
    for action in ("drain", "undrain"):
        command = _add_admin(target, action, f"target {action}", f"{action} a target")
        command.add_argument("name")
    instance = commands.add_parser("instance", help="drain or forget instances").add_subparsers(
        required=True, metavar="ACTION"
    )
    for action in ("drain", "undrain"):
        command = _add_admin(instance, action, f"instance {action}", f"{action} an instance")
        command.add_argument("name")
    forget = _add_admin(
        instance, "forget", "instance forget", "free the shares of an instance that is gone"
    )
    forget.add_argument("name")
    forget.add_argument(
        "--certainly-stopped",
        action="store_true",
        required=True,
        help="confirm that the instance's process does not run any more",
    )
    for name in ("issue", "withdraw"):
        key.choices[name].add_argument("--why", default="")
    for group in (target, instance):
        for name in ("drain", "undrain"):
            group.choices[name].add_argument("--why", default="")


def _add_admin(group: Any, name: str, command: str, help_text: str) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = group.add_parser(name, help=help_text)
    parser.add_argument("--instance", required=True, help="HOST:PORT of any instance")
    parser.add_argument("--key-file", type=Path, help=f"else the key is in {_KEY_VARIABLE}")
    parser.add_argument("--json", action="store_true", help="print one JSON document")
    parser.set_defaults(command=command)
    return parser


@_command("serve")
def serve(options: argparse.Namespace) -> int:
    """Run an entry instance until it is stopped."""
    settings = load_settings(options.settings)
    configure_logging(settings.log_format, settings.log_level, settings.name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_instance(settings))
    return EXIT_OK


@_command("check")
def check(options: argparse.Namespace) -> int:
    """Check a file, a manifest when it has regions and settings otherwise."""
    document = load_document(options.file)
    if isinstance(document, dict) and "regions" in document:
        faults = list_faults(document)
        if faults:
            raise InvalidDocumentError(options.file, faults)
    else:
        load_settings(options.file)
    print(f"{options.file}: no faults")
    return EXIT_OK


@_command("manifest apply")
def apply_manifest(options: argparse.Namespace) -> int:
    """Submit a whole manifest."""
    document = load_document(options.file)
    faults = list_faults(document)
    if faults:
        raise InvalidDocumentError(options.file, faults)
    client = _build_client(options)
    based_on = options.based_on
    if based_on is None:
        based_on = client.get("manifest")["revision"]
    answer = client.submit_change({"document": document, "based_on": based_on, "why": options.why})
    _print(options, answer, f"accepted as revision {answer['revision']}")
    return EXIT_OK


@_command("manifest show")
def show_manifest(options: argparse.Namespace) -> int:
    """Print the manifest and its revision."""
    answer = _build_client(options).get("manifest")
    _print(options, answer, _format(answer))
    return EXIT_OK


@_command("manifest history")
def show_history(options: argparse.Namespace) -> int:
    """Print the kept revisions."""
    answer = _build_client(options).get("history")
    lines = [
        f"{entry['revision']:>6}  {entry['who']:<16} based on {entry['based_on']}: {entry['why']}"
        for entry in answer["revisions"]
    ]
    _print(options, answer, "\n".join(lines))
    return EXIT_OK


@_command("manifest diff")
def diff_manifest(options: argparse.Namespace) -> int:
    """Print the JSON patch that leads from the manifest in force to a file."""
    import jsonpatch

    document = load_document(options.file)
    answer = _build_client(options).get("manifest")
    patch = jsonpatch.make_patch(answer["document"], document).patch
    lines = [f"{step['op']:<8} {step['path']} {step.get('value', '')}" for step in patch]
    _print(options, {"revision": answer["revision"], "patch": patch}, "\n".join(lines))
    return EXIT_OK


@_command("key issue")
def issue_key(options: argparse.Namespace) -> int:
    """Make a key, submit its digest and print the key this one time."""
    key = secrets.token_urlsafe(_KEY_BYTES)
    digest = hash_key(key)
    step = {"op": "add", "path": f"/keys/{digest}", "value": {"organisation": options.organisation}}
    answer = _patch(options, [step], f"issue a key to {options.organisation}")
    answer |= {"key": key, "digest": digest}
    _print(options, answer, f"key {key}\ndigest {digest}\nrevision {answer['revision']}")
    return EXIT_OK


@_command("key withdraw")
def withdraw_key(options: argparse.Namespace) -> int:
    """Remove a key's digest."""
    answer = _patch(
        options, [{"op": "remove", "path": f"/keys/{options.digest}"}], "withdraw a key"
    )
    _print(options, answer, f"withdrawn with revision {answer['revision']}")
    return EXIT_OK


@_command("target drain")
def drain_target(options: argparse.Namespace) -> int:
    """Plan a stop of a target from now on."""
    return _add_stop(options, "target")


@_command("target undrain")
def undrain_target(options: argparse.Namespace) -> int:
    """Take back a target's planned stop."""
    return _remove_stop(options)


@_command("instance drain")
def drain_instance(options: argparse.Namespace) -> int:
    """Plan a stop of an instance from now on: look-ups stop to offer it."""
    return _add_stop(options, "instance")


@_command("instance undrain")
def undrain_instance(options: argparse.Namespace) -> int:
    """Take back an instance's planned stop."""
    return _remove_stop(options)


@_command("instance forget")
def forget_instance(options: argparse.Namespace) -> int:
    """Free the shares of an instance that certainly does not run any more."""
    answer = _build_client(options).post(f"instances/{options.name}/forget")
    _print(options, answer, f"forgotten with ledger version {answer['version']}")
    return EXIT_OK


@_command("status")
def show_status(options: argparse.Namespace) -> int:
    """Print what is in force where."""
    query = "?shares" if options.shares else ""
    answer = _build_client(options).get(f"status{query}")
    _print(options, answer, _format(answer))
    return EXIT_OK


def _add_stop(options: argparse.Namespace, kind: str) -> int:
    stop = {"kind": kind, "reason": options.why}
    step = {"op": "add", "path": f"/planned_stops/{options.name}", "value": stop}
    answer = _patch(options, [step], f"drain {kind} {options.name}")
    _print(options, answer, f"draining with revision {answer['revision']}")
    return EXIT_OK


def _remove_stop(options: argparse.Namespace) -> int:
    step = {"op": "remove", "path": f"/planned_stops/{options.name}"}
    answer = _patch(options, [step], f"undrain {options.name}")
    _print(options, answer, f"in use again with revision {answer['revision']}")
    return EXIT_OK


def _patch(options: argparse.Namespace, patch: list[Any], why: str) -> dict[str, Any]:
    return _build_client(options).submit_change({"patch": patch, "why": options.why or why})


def _build_client(options: argparse.Namespace) -> AdminClient:
    key = os.environ.get(_KEY_VARIABLE, "")
    if options.key_file is not None:
        key = options.key_file.read_text(encoding="utf-8").strip()
    return AdminClient(options.instance, key)


def _print(options: argparse.Namespace, answer: Any, text: str) -> None:
    print(msgspec.json.encode(answer).decode() if options.json else text)


def _print_problem(options: argparse.Namespace, error: AdminError) -> None:
    if getattr(options, "json", False):
        print(msgspec.json.encode(error.problem).decode())
    else:
        print(_format(error.problem), file=sys.stderr)


def _format(document: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(document)).decode()


if __name__ == "__main__":
    sys.exit(main())
