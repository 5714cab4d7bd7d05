"""What must hold of streams that callers resume, or that endpoints of several versions make."""

import re

from saffronworks.tests.soak.answer_lengths import event_count
from saffronworks.tests.soak.callers import RESUMABLE_KIND, STREAM_KINDS, STREAMED, count_events
from saffronworks.tests.soak.records import Asked, Records

__all__ = ["is_whole_stream", "one_version_each", "resumed_go_on"]

# Fewer resumed streams than this show no share.
MIN_RESUMED = 12
# Of the share of new streams that begin, at least this share of the resumed ones goes on.
GOES_ON_SHARE = 0.9
# Statuses of requests beyond a quota, or with a key that was taken away.
OWN_FAULT_STATUSES = (401, 429)
# A version must have so many decode endpoints for its streams to be judged.
MIN_ENDPOINTS = 2

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+) (\S+)\n\n")


def is_whole_stream(asked: Asked) -> bool:
    """Return whether an answer has all events after the caller's last one, of one version."""
    events = _EVENT.findall(asked.body)
    # A caller that has all events, but not the end of the answer, gets an empty one.
    count = event_count(asked.kind, asked.request_id)
    versions = 0 if asked.after_event == count else 1
    numbers = [int(number) for number, *_ in events]
    own = asked.request_id.encode()
    return (
        numbers == list(range(asked.after_event + 1, count + 1))
        and all(name == own and number == again for number, name, again, _ in events)
        and len(_versions(asked)) == versions
        and asked.body == b"".join(_format(event) for event in events)
    )


def _format(event: tuple[bytes, bytes, bytes, bytes]) -> bytes:
    return b"id: %s\ndata: %s %s %s\n\n" % event


def _versions(asked: Asked) -> set[str]:
    return {version.decode() for *_, version in _EVENT.findall(asked.body)}


def one_version_each(records: Records) -> list[str]:
    """No stream has events of two versions, in one answer or over its caller's attempts."""
    versions: dict[str, set[str]] = {}
    for asked in records.asked.values():
        if asked.kind in STREAM_KINDS:
            versions.setdefault(asked.resumes or asked.request_id, set()).update(_versions(asked))
    return [f"{name} has events of {sorted(v)}" for name, v in versions.items() if len(v) > 1]


def resumed_go_on(records: Records, undisturbed: list[Asked]) -> list[str]:
    """While two endpoints of its version serve, a stream goes on nearly as often as others begin.

    `undisturbed` are the requests whose nodes nothing struck.
    """
    judged = [asked for asked in undisturbed if asked.status not in OWN_FAULT_STATUSES]
    attempts = [asked for asked in judged if asked.resumes and _is_served(records, asked)]
    # A stream that is refused is resumed again and again, and counts once.
    resumed = {asked.resumes: False for asked in attempts}
    resumed |= {asked.resumes: True for asked in attempts if _has_events(asked)}
    begun = [asked for asked in judged if asked.kind in STREAM_KINDS and not asked.resumes]
    if len(resumed) < MIN_RESUMED or not begun:
        return []
    went_on, began = sum(resumed.values()), sum(map(_has_events, begun))
    if went_on / len(resumed) >= GOES_ON_SHARE * began / len(begun):
        return []
    lost = [first for first, goes_on in resumed.items() if not goes_on]
    return [
        f"{went_on} of {len(resumed)} resumed streams went on, and {began} of {len(begun)} began: "
        f"{lost[:8]}"
    ]


def _has_events(asked: Asked) -> bool:
    return asked.status == STREAMED and count_events(asked.body) > 0


def _is_served(records: Records, asked: Asked) -> bool:
    """Return whether endpoints of the stream's version served all the time."""
    versions = _versions(records.asked[asked.resumes])
    serving = {
        served.endpoint
        for served in records.served
        if {served.version} == versions
        and served.from_ms <= records.asked[asked.resumes].at_ms
        and served.to_ms >= asked.ended_ms
    }
    return asked.kind == RESUMABLE_KIND and len(serving) >= MIN_ENDPOINTS
