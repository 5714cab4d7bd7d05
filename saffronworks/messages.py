"""Messages between nodes. Times are durations, since clocks of different VMs differ."""

import attrs

from saffronworks.burn import NodeBurn
from saffronworks.wire import Whole

__all__ = [
    "Ask",
    "Assign",
    "AssignRefused",
    "ClaimAsk",
    "ClaimReply",
    "ClaimSettle",
    "Grant",
    "HeldKey",
    "HeldList",
    "HeldQuery",
    "LeaseRenewal",
    "NodeAnswer",
    "Prefilled",
    "Refusal",
    "Release",
    "RequestKey",
    "SurveyQuery",
]


@attrs.frozen(order=True)
class RequestKey:
    """One attempt at one request; an older attempt of the same id is void."""

    request_id: str
    attempt: Whole


@attrs.frozen
class Ask:
    """Entry to owner: queue this attempt. Sent again until it is answered.

    `avoid` names endpoints that failed this request before; others are preferred.
    """

    key: RequestKey
    node: str
    cell: str
    model: str
    organisation: str
    prompt_tokens: Whole
    prefix_key: str
    max_tokens: Whole
    priority: Whole
    waited_ms: Whole
    retry: bool = False
    avoid: tuple[str, ...] = ()


@attrs.frozen
class Grant:
    """Owner to entry: start the prefill at this endpoint now."""

    key: RequestKey
    endpoint: str


@attrs.frozen
class Refusal:
    """Owner to entry: given up before a prefill started; come back after `retry_after_ms`."""

    key: RequestKey
    reason: str
    retry_after_ms: Whole


@attrs.frozen
class Prefilled:
    """Entry to owner: the KV result waits for a decode slot. Sent again until answered."""

    key: RequestKey
    node: str
    cell: str
    prefill_ms: Whole
    cached_tokens: Whole
    expires_in_ms: Whole
    refused_by: str = ""
    failure: str = ""


@attrs.frozen
class Assign:
    """Owner to entry: import the KV result into this decode endpoint now.

    A transfer that takes longer than `limit_ms` has stalled.
    """

    key: RequestKey
    endpoint: str
    limit_ms: Whole


@attrs.frozen
class AssignRefused:
    """Owner to entry: the KV result expires before any slot comes free."""

    key: RequestKey


@attrs.frozen
class ClaimAsk:
    """Entry to the home of a claim's shard. Sent again until it is answered."""

    key: str
    request_id: str
    node: str


@attrs.frozen
class ClaimReply:
    """Home to entry. A recorded claim with a holder is that of another request."""

    key: str
    request_id: str
    recorded: bool
    holder_request_id: str = ""
    holder_node: str = ""


@attrs.frozen
class ClaimSettle:
    """Entry to home: the request did not run and will not; one way."""

    key: str
    request_id: str


@attrs.frozen
class Release:
    """Entry to owner: this attempt holds nothing any more, and how it went.

    `failed` names the endpoints that broke, or both ends of a transfer; `failure` tells how.
    """

    key: RequestKey
    node: str
    cell: str
    organisation: str = ""
    output_tokens: Whole = 0
    decode_ms: Whole = 0
    transfer_ms: Whole = 0
    finished: bool = False
    failed: tuple[str, ...] = ()
    failure: str = ""


@attrs.frozen
class LeaseRenewal:
    """Entry to owner, one per heartbeat: renews all that the entry holds in the cell.

    `digest` is the exclusive or of the hashes of the held keys; a mismatch makes the owner ask.
    """

    node: str
    cell: str
    incarnation: Whole
    held: Whole
    digest: int


@attrs.frozen
class HeldQuery:
    """Owner to entry: list what you hold in this cell."""

    cell: str


@attrs.frozen
class HeldKey:
    """One held attempt; `endpoint` names the decode endpoint, or the prefill endpoint."""

    key: RequestKey
    endpoint: str
    stage: str
    organisation: str
    output_tokens: Whole


@attrs.frozen
class HeldList:
    """Entry to owner: the whole truth about what this entry holds in the cell."""

    node: str
    cell: str
    held: tuple[HeldKey, ...]


@attrs.frozen
class SurveyQuery:
    """Ask a node for its state; `burn` asks for its counts too."""

    survey: Whole
    asked_by: str
    burn: bool


@attrs.frozen
class NodeAnswer:
    """One node's answer: versions in force by document key, and its burn counts."""

    survey: Whole
    node: str
    zone: str
    versions: dict[str, Whole]
    burn: NodeBurn | None
