"""Versioned documents (bundles, the VM list) in force on every node: a pure core.

A few watchers per region read the store and push down a tree; heartbeats carry a digest, and
a mismatch starts an exchange of what is missing. No node takes an older version.
"""

from collections.abc import Sequence

import attrs

from saffronworks.hashing import hash32, hash64
from saffronworks.wire import Age, Independent, Whole

__all__ = [
    "BucketDigests",
    "BucketVersions",
    "Document",
    "DocumentPull",
    "DocumentPush",
    "DocumentStore",
    "Fetched",
    "InForce",
    "PeerDigest",
    "SendTo",
    "overall_digest",
    "step",
]

BUCKETS = 64
TREE_WIDTH = 3
BUCKETS_PER_MESSAGE = 8
DOCUMENTS_PER_PULL = 16


@attrs.frozen
class Document:
    """One object of the store; `version` only grows. `sign_off_id` tells whose change it is."""

    key: str
    version: Whole
    content: str


@attrs.frozen
class DocumentPush:
    """A document; with `relay`, on its way down the tree, else to this node only."""

    document: Document
    relay: bool = False


@attrs.frozen
class DocumentPull:
    """Ask a peer for documents."""

    sender: str
    keys: tuple[str, ...]


@attrs.frozen
class BucketDigests:
    """The digests of all buckets, sent after the overall digests differed."""

    sender: str
    digests: tuple[int, ...]


@attrs.frozen
class BucketVersions:
    """The versions in some buckets that differed."""

    sender: str
    buckets: tuple[Whole, ...]
    versions: dict[str, Whole]


@attrs.frozen
class PeerDigest:
    """A heartbeat carried a peer's overall digest."""

    sender: str
    digest: int
    fresh_age_ms: Age = 0


@attrs.frozen
class Fetched:
    """Documents read from the store, to be relayed down the tree."""

    documents: Independent[Document]
    relay: bool = True


@attrs.frozen
class SendTo:
    """Send a message to a member by name."""

    member: str
    message: DocumentPush | DocumentPull | BucketDigests | BucketVersions


@attrs.frozen
class InForce:
    """A version is in force on this node from now on."""

    document: Document


Event = Fetched | DocumentPush | DocumentPull | BucketDigests | BucketVersions | PeerDigest
Command = SendTo | InForce


@attrs.define
class DocumentStore:
    """The highest version seen of each document, with digests for the comparison."""

    node: str
    documents: dict[str, Document] = attrs.Factory(dict)
    digests: list[int] = attrs.Factory(lambda: [0] * BUCKETS)


def _bucket(key: str) -> int:
    return hash32(key) % BUCKETS


def _hash_version(key: str, version: int) -> int:
    return hash64(f"{key}@{version}") >> 1


def overall_digest(state: DocumentStore) -> int:
    """One number that is equal where all versions are."""
    digest = 0
    for value in state.digests:
        digest ^= value
    return digest


def step(state: DocumentStore, event: Event, members: Sequence[str]) -> list[Command]:
    """Apply one event; `members` are the live members of the region, this node among them."""
    match event:
        case Fetched():
            commands: list[Command] = []
            for document in event.documents:
                commands += _take(state, document, event.relay, members)
            return commands
        case DocumentPush():
            return _take(state, event.document, event.relay, members)
        case DocumentPull():
            return _answer_pull(state, event)
        case PeerDigest():
            if event.digest == overall_digest(state):
                return []
            return [SendTo(event.sender, BucketDigests(state.node, tuple(state.digests)))]
        case BucketDigests():
            return _compare_buckets(state, event)
        case BucketVersions():
            return _compare_versions(state, event)


def _take(
    state: DocumentStore, document: Document, relay: bool, members: Sequence[str]
) -> list[Command]:
    known = state.documents.get(document.key)
    if known is not None and known.version >= document.version:
        return []
    bucket = _bucket(document.key)
    if known is not None:
        state.digests[bucket] ^= _hash_version(known.key, known.version)
    state.digests[bucket] ^= _hash_version(document.key, document.version)
    state.documents[document.key] = document
    push = DocumentPush(document, relay=True)
    targets = _choose_targets(state.node, document, members) if relay else []
    return [InForce(document), *(SendTo(target, push) for target in targets)]


def _choose_targets(node: str, document: Document, members: Sequence[str]) -> list[str]:
    """Whom this node sends a document to when it first takes it: its children, and the root.

    All watchers feed one tree, rotated by the document's version. Were there a tree for each
    watcher, a node that took the document from one would not forward it in the other.
    """
    order = sorted(members)
    if node not in order:
        return []
    first = _hash_version(document.key, document.version) % len(order)
    order = order[first:] + order[:first]
    index = order.index(node)
    children = order[TREE_WIDTH * index + 1 : TREE_WIDTH * index + 1 + TREE_WIDTH]
    return children if index == 0 else [order[0], *children]


def _answer_pull(state: DocumentStore, event: DocumentPull) -> list[Command]:
    found = [state.documents[key] for key in event.keys if key in state.documents]
    return [SendTo(event.sender, DocumentPush(document)) for document in found]


def _compare_buckets(state: DocumentStore, event: BucketDigests) -> list[Command]:
    differing = [i for i, value in enumerate(event.digests) if value != state.digests[i]]
    chosen = tuple(differing[:BUCKETS_PER_MESSAGE])
    if not chosen:
        return []
    versions = {
        key: document.version for key, document in state.documents.items() if _bucket(key) in chosen
    }
    return [SendTo(event.sender, BucketVersions(state.node, chosen, versions))]


def _compare_versions(state: DocumentStore, event: BucketVersions) -> list[Command]:
    newer_there = [
        key
        for key, version in event.versions.items()
        if key not in state.documents or state.documents[key].version < version
    ]
    newer_here = [
        document
        for key, document in state.documents.items()
        if _bucket(key) in event.buckets and event.versions.get(key, 0) < document.version
    ]
    commands: list[Command] = [
        SendTo(event.sender, DocumentPush(document)) for document in newer_here[:DOCUMENTS_PER_PULL]
    ]
    if newer_there:
        keys = tuple(newer_there[:DOCUMENTS_PER_PULL])
        commands.append(SendTo(event.sender, DocumentPull(state.node, keys)))
    return commands
