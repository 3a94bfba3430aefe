"""The `waxwingshelf` command-line interface."""

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
_KEY_ENV_VAR = "WAXWINGSHELF_OPERATOR_KEY"
_KEY_BYTES = 32
_EXIT_CODE_BY_REASON = {
    "manifest_invalid": EXIT_INVALID,
    "bad_request": EXIT_INVALID,
    "change_conflict": EXIT_CONFLICT,
    "store_unavailable": EXIT_UNAVAILABLE,
    "change_unknown": EXIT_OUTCOME_UNKNOWN,
}

CommandFunction = Callable[[argparse.Namespace], int]
_COMMANDS: dict[str, CommandFunction] = {}


def _register_command(name: str) -> Callable[[CommandFunction], CommandFunction]:
    def register(command: CommandFunction) -> CommandFunction:
        _COMMANDS[name] = command
        return command

    return register


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
        return _EXIT_CODE_BY_REASON.get(error.reason, EXIT_REFUSED)


@_register_command("explain")
def _explain(options: argparse.Namespace) -> int:
    lines = explain_request(options.request, read_log_lines(options.files))
    for line in lines:
        print(msgspec.json.encode(line).decode())
    if not lines:
        print(f"no log lines for request {options.request}", file=sys.stderr)
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
    explain = commands.add_parser("explain", help="collect the log lines about one request")
    explain.add_argument("request", help="id of the request")
    explain.add_argument("files", type=Path, nargs="+", help="log files of the instances")
    explain.set_defaults(command="explain")
    status = _add_admin_command(commands, "status", "status", "show the state of the fleet")
    status.add_argument(
        "--shares", action="store_true", help="also show the shares that the instance holds"
    )
    return parser


def _add_manifest_commands(parser: argparse.ArgumentParser) -> None:
    group = parser.add_subparsers(required=True, metavar="ACTION")
    apply = _add_admin_command(group, "apply", "manifest apply", "submit a complete manifest")
    apply.add_argument("file", type=Path)
    apply.add_argument(
        "--based-on", type=int, help="revision that the file is based on (default: the latest)"
    )
    apply.add_argument("--why", required=True)
    _add_admin_command(group, "show", "manifest show", "print the manifest")
    _add_admin_command(group, "history", "manifest history", "list the recorded revisions")
    diff = _add_admin_command(
        group, "diff", "manifest diff", "compare a file with the current manifest"
    )
    diff.add_argument("file", type=Path)


def _add_entity_commands(commands: Any) -> None:
    key_actions = commands.add_parser("key", help="issue and withdraw keys").add_subparsers(
        required=True, metavar="ACTION"
    )
    issue = _add_admin_command(key_actions, "issue", "key issue", "create a key and print it once")
    issue.add_argument("organisation")
    withdraw = _add_admin_command(key_actions, "withdraw", "key withdraw", "revoke a key")
    withdraw.add_argument("digest", help="SHA-256 digest of the key in hex")
    target_actions = commands.add_parser("target", help="drain targets").add_subparsers(
        required=True, metavar="ACTION"
    )
    for action in ("drain", "undrain"):
        command = _add_admin_command(
            target_actions, action, f"target {action}", f"{action} a target"
        )
        command.add_argument("name")
    instance_actions = commands.add_parser(
        "instance", help="drain or forget instances"
    ).add_subparsers(required=True, metavar="ACTION")
    for action in ("drain", "undrain"):
        command = _add_admin_command(
            instance_actions, action, f"instance {action}", f"{action} an instance"
        )
        command.add_argument("name")
    forget = _add_admin_command(
        instance_actions, "forget", "instance forget", "reclaim the shares of a stopped instance"
    )
    forget.add_argument("name")
    forget.add_argument(
        "--certainly-stopped",
        action="store_true",
        required=True,
        help="confirm that the instance's process is no longer running",
    )
    for name in ("issue", "withdraw"):
        key_actions.choices[name].add_argument("--why", default="")
    for group in (target_actions, instance_actions):
        for name in ("drain", "undrain"):
            group.choices[name].add_argument("--why", default="")


def _add_admin_command(
    group: Any, name: str, command: str, help_text: str
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = group.add_parser(name, help=help_text)
    parser.add_argument("--instance", required=True, help="HOST:PORT of any instance")
    parser.add_argument(
        "--key-file", type=Path, help=f"file with the operator key (default: read {_KEY_ENV_VAR})"
    )
    parser.add_argument("--json", action="store_true", help="print one JSON document")
    parser.set_defaults(command=command)
    return parser


@_register_command("serve")
def serve(options: argparse.Namespace) -> int:
    """Run an entry instance until it is stopped."""
    settings = load_settings(options.settings)
    configure_logging(settings.log_format, settings.log_level, settings.name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_instance(settings))
    return EXIT_OK


@_register_command("check")
def check(options: argparse.Namespace) -> int:
    """Check a file: a manifest if it has a `regions` section, otherwise settings."""
    document = load_document(options.file)
    if isinstance(document, dict) and "regions" in document:
        faults = list_faults(document)
        if faults:
            raise InvalidDocumentError(options.file, faults)
    else:
        load_settings(options.file)
    print(f"{options.file}: no faults")
    return EXIT_OK


@_register_command("manifest apply")
def apply_manifest(options: argparse.Namespace) -> int:
    """Submit a complete manifest."""
    document = load_document(options.file)
    faults = list_faults(document)
    if faults:
        raise InvalidDocumentError(options.file, faults)
    client = _build_client(options)
    based_on = options.based_on
    if based_on is None:
        based_on = client.get("manifest")["revision"]
    response = client.submit_change(
        {"document": document, "based_on": based_on, "why": options.why}
    )
    _print_response(options, response, f"accepted as revision {response['revision']}")
    return EXIT_OK


@_register_command("manifest show")
def show_manifest(options: argparse.Namespace) -> int:
    """Print the manifest and its revision."""
    response = _build_client(options).get("manifest")
    _print_response(options, response, _format_json(response))
    return EXIT_OK


@_register_command("manifest history")
def show_history(options: argparse.Namespace) -> int:
    """Print the revisions that the history keeps."""
    response = _build_client(options).get("history")
    lines = [
        f"{entry['revision']:>6}  {entry['who']:<16} based on {entry['based_on']}: {entry['why']}"
        for entry in response["revisions"]
    ]
    _print_response(options, response, "\n".join(lines))
    return EXIT_OK


@_register_command("manifest diff")
def diff_manifest(options: argparse.Namespace) -> int:
    """Print the JSON patch that turns the current manifest into the one in a file."""
    import jsonpatch

    document = load_document(options.file)
    response = _build_client(options).get("manifest")
    patch = jsonpatch.make_patch(response["document"], document).patch
    lines = [
        f"{operation['op']:<8} {operation['path']} {operation.get('value', '')}"
        for operation in patch
    ]
    _print_response(options, {"revision": response["revision"], "patch": patch}, "\n".join(lines))
    return EXIT_OK


@_register_command("key issue")
def issue_key(options: argparse.Namespace) -> int:
    """Create a key, add its digest to the manifest and print the key once."""
    key = secrets.token_urlsafe(_KEY_BYTES)
    digest = hash_key(key)
    operation = {
        "op": "add",
        "path": f"/keys/{digest}",
        "value": {"organisation": options.organisation},
    }
    response = _submit_patch(options, [operation], f"issue a key to {options.organisation}")
    response |= {"key": key, "digest": digest}
    _print_response(
        options, response, f"key {key}\ndigest {digest}\nrevision {response['revision']}"
    )
    return EXIT_OK


@_register_command("key withdraw")
def withdraw_key(options: argparse.Namespace) -> int:
    """Remove the digest of a key from the manifest."""
    response = _submit_patch(
        options, [{"op": "remove", "path": f"/keys/{options.digest}"}], "withdraw a key"
    )
    _print_response(options, response, f"withdrawn with revision {response['revision']}")
    return EXIT_OK


@_register_command("target drain")
def drain_target(options: argparse.Namespace) -> int:
    """Add a planned stop of a target, effective immediately."""
    return _add_planned_stop(options, "target")


@_register_command("target undrain")
def undrain_target(options: argparse.Namespace) -> int:
    """Remove the planned stop of a target."""
    return _remove_planned_stop(options)


@_register_command("instance drain")
def drain_instance(options: argparse.Namespace) -> int:
    """Add a planned stop of an instance, effective immediately; lookups no longer return it."""
    return _add_planned_stop(options, "instance")


@_register_command("instance undrain")
def undrain_instance(options: argparse.Namespace) -> int:
    """Remove the planned stop of an instance."""
    return _remove_planned_stop(options)


@_register_command("instance forget")
def forget_instance(options: argparse.Namespace) -> int:
    """Remove a certainly stopped instance from the ledger, so that its shares are issued again."""
    response = _build_client(options).post(f"instances/{options.name}/forget")
    _print_response(options, response, f"forgotten with ledger version {response['version']}")
    return EXIT_OK


@_register_command("status")
def show_status(options: argparse.Namespace) -> int:
    """Print the state of the fleet as one instance sees it."""
    query = "?shares" if options.shares else ""
    response = _build_client(options).get(f"status{query}")
    _print_response(options, response, _format_json(response))
    return EXIT_OK


def _add_planned_stop(options: argparse.Namespace, kind: str) -> int:
    stop = {"kind": kind, "reason": options.why}
    operation = {"op": "add", "path": f"/planned_stops/{options.name}", "value": stop}
    response = _submit_patch(options, [operation], f"drain {kind} {options.name}")
    _print_response(options, response, f"draining with revision {response['revision']}")
    return EXIT_OK


def _remove_planned_stop(options: argparse.Namespace) -> int:
    operation = {"op": "remove", "path": f"/planned_stops/{options.name}"}
    response = _submit_patch(options, [operation], f"undrain {options.name}")
    _print_response(options, response, f"in use again with revision {response['revision']}")
    return EXIT_OK


def _submit_patch(
    options: argparse.Namespace, patch: list[Any], default_why: str
) -> dict[str, Any]:
    return _build_client(options).submit_change({"patch": patch, "why": options.why or default_why})


def _build_client(options: argparse.Namespace) -> AdminClient:
    key = os.environ.get(_KEY_ENV_VAR, "")
    if options.key_file is not None:
        key = options.key_file.read_text(encoding="utf-8").strip()
    return AdminClient(options.instance, key)


def _print_response(options: argparse.Namespace, response: Any, text: str) -> None:
    print(msgspec.json.encode(response).decode() if options.json else text)


def _print_problem(options: argparse.Namespace, error: AdminError) -> None:
    if getattr(options, "json", False):
        print(msgspec.json.encode(error.problem).decode())
    else:
        print(_format_json(error.problem), file=sys.stderr)


def _format_json(document: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(document)).decode()


if __name__ == "__main__":
    sys.exit(main())
