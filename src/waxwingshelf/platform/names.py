"""Header names, paths, store keys and key prefixes of the platform."""

from __future__ import annotations

__all__ = [
    "AFFINITY_HEADER",
    "CONFIG_KEY",
    "CREDENTIAL_HEADER",
    "DEADLINE_HEADER",
    "EVACUATION_PREFIX",
    "EXPECTED_TARGET_HEADER",
    "IDLE_TIMEOUT_HEADER",
    "LEAVING_HEADER",
    "LOAD_HEADER",
    "MEMBER_LIST_PREFIX",
    "MEMBER_PREFIX",
    "NOT_RUN_HEADER",
    "ORGANISATION_HEADER",
    "QUARANTINE_PREFIX",
    "RATE_LIMIT_HEADER",
    "READINESS_PATH",
    "REQUEST_ID_HEADER",
    "RESOLVE_PATH",
    "RESPONDING_TARGET_HEADER",
    "RETRY_AFTER_HEADER",
    "SETTINGS_VARIABLE",
    "SIGNATURE_HEADER",
    "STORE_ERA_HEADER",
    "TARGET_PREFIX",
]

REQUEST_ID_HEADER = "Attempt-Id"
DEADLINE_HEADER = "Deadline-Ms"
AFFINITY_HEADER = "Affinity-Key"
CREDENTIAL_HEADER = "Credential"
ORGANISATION_HEADER = "Tenant"
# The id of the target that must run the request; any other target rejects it without running it.
EXPECTED_TARGET_HEADER = "Expected-Instance"
# The id of the responding target; the platform calls a target an instance.
RESPONDING_TARGET_HEADER = "Instance-Id"
SIGNATURE_HEADER = "Server-Signature"
LOAD_HEADER = "Server-Load"
# The requests per second that a target accepts from all instances together.
RATE_LIMIT_HEADER = "Server-Limit"
NOT_RUN_HEADER = "Not-Executed"
# "1" in all responses of a target whose run will end.
LEAVING_HEADER = "Server-Leaving"
# In a 503 of a target: the seconds for which it accepts no requests from this instance.
RETRY_AFTER_HEADER = "Retry-After"
# "timeout=SECONDS": the time after which the sender closes an idle connection.
IDLE_TIMEOUT_HEADER = "Keep-Alive"
# Rises by one each time the store comes back from an older copy of its data.
STORE_ERA_HEADER = "Store-Era"

READINESS_PATH = "/api/readiness"
RESOLVE_PATH = "/api/resolve"

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
MEMBER_PREFIX = "waxwingshelf/members/"
QUARANTINE_PREFIX = "waxwingshelf/quarantine/"
# Like the registrations, but without a lease.
MEMBER_LIST_PREFIX = "waxwingshelf/member-list/"

SETTINGS_VARIABLE = "WAXWINGSHELF_SETTINGS"
