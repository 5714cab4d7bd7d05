"""Fixtures of scenarios on the state machines: routes, endpoints and their answers."""

import random

from hypothesis import strategies as st

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.service import EndpointEligibility
from saffronworks.forwarding.endpoint_limits.service import EndpointLimits
from saffronworks.forwarding.messages import (
    AnswerHead,
    Executed,
)
from saffronworks.forwarding.paths.service import make_paths
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.routing import Route, Split
from saffronworks.platform.answer_fields import ID_FIELD
from saffronworks.platform.calls import PlatformCalls

MOST_STEPS = 60


ALL_TO_S = (Split("s", 1.0),)


def route(name="r", prefix="/a/", splits=ALL_TO_S, **changes):
    values = {
        "host": "h",
        "repeatable": False,
        "streams": False,
        "resumable": False,
        "timeout_ms": 1500,
        "target_ms": 300,
        "max_attempts": 2,
    }
    return Route(name=name, path_prefix=prefix, splits=splits, **{**values, **changes})


def endpoints(count, role=None, prefix="e"):
    return [
        ServiceEndpoint(f"{prefix}{index}", "s", f"127.0.0.1:{index}", "z", role=role)
        for index in range(count)
    ]


def limits_of_one_node(now_ms=lambda: 10):
    """Return the rate limits of endpoints as seen by the only node of a fleet."""
    return EndpointLimits("n:1", 1, random.Random(1), now_ms)


DRAIN_MS = 2000


def eligibility_of_one_node(directory, limits=None, now_ms=lambda: 10):
    """Return the eligibility of endpoints at a node to which they have advertised nothing yet."""
    return EndpointEligibility(directory, limits or limits_of_one_node(), DRAIN_MS, now_ms)


def wide_budget():
    return RetryBudget(1.0, 10_000, 10_000)


REPLY_KINDS = ("ok", "unsigned", "500", "503-run", "not-run", "unsent", "reset", "silent")
REPLIES = st.lists(st.sampled_from(REPLY_KINDS), max_size=12)


def head_of(reply):
    match reply:
        case "ok":
            return AnswerHead(200, (), Executed.YES, signed=True)
        case "unsigned":
            return AnswerHead(200, (), Executed.YES, signed=False)
        case "500":
            return AnswerHead(500, (), Executed.YES, signed=True)
        case "503-run":
            return AnswerHead(503, (), Executed.YES, signed=True)
        case "not-run":
            return AnswerHead(503, (), Executed.NO, signed=False)
    return None


def calls_of_one_node(eligibility, directory):
    """Calls of a node that has no peers."""
    paths = make_paths(directory, ID_FIELD, "z", random.Random(1), monotonic_ms)
    return PlatformCalls(eligibility, paths)
