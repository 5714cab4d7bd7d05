"""Records of requests around planned stops and silences, for the checks of a soak."""

import attrs

from saffronworks.tests.soak.processes import GRACE_S
from saffronworks.tests.soak.records import Disturbance, Ran, Reached, Silence, Terminated

__all__ = ["STOP_CASES"]

GRACE_MS = GRACE_S * 1000


def add_calm_end(records):
    """Another request is served long after this one."""
    asked = records.asked["r"]
    calm = attrs.evolve(asked, request_id="r2", kind="again", outcome="answered", body=b"r2")
    calm.at_ms = calm.sent_ms = asked.at_ms + 20_000
    calm.ended_ms, records.calm_from_ms = calm.at_ms + 50, calm.at_ms - 1000
    records.asked["r2"] = calm


def cut_by_stop(records, sent_after_ms, cut_after_ms=7200.0, work_ends_ms=None):
    """Its node cuts the stream so long after SIGTERM; the endpoint works on until then."""
    asked, run = records.asked["r"], records.ran[0]
    term_ms = asked.at_ms - sent_after_ms
    asked.sent_ms = asked.at_ms
    asked.deadline_ms = 14_000
    asked.ended_ms = term_ms + cut_after_ms
    asked.outcome, asked.body = "broken", asked.body[:40]
    run.whole = False
    run.ended_ms = asked.ended_ms if work_ends_ms is None else term_ms + work_ends_ms
    stop = Terminated(asked.node, term_ms, ended_ms=term_ms + cut_after_ms + 100)
    records.terminated.append(stop)
    add_calm_end(records)


def cut_while_endpoint_ends(records, cut_after_ms):
    """Its endpoint does not notice the cut of a long answer and makes it whole later."""
    cut_by_stop(records, -1600.0, cut_after_ms)
    asked, run = records.asked["r"], records.ran[0]
    run.whole, run.ended_ms = True, asked.ended_ms + 1200
    (stop,) = records.terminated
    records.stops.append((stop.node, stop.sent_ms, stop.sent_ms + GRACE_MS))


def cut_after_prefill(records):
    """Only its prompt was read when its node cut it."""
    cut_by_stop(records, 4000.0)
    run = records.ran.pop()
    records.reached.append(Reached(run.endpoint, "r", run.at_ms))


def closed_held(records, after_ms, kept=True):
    """Its node closed it so long after it had been sent, and no endpoint got it."""
    cut_by_stop(records, 4000.0, 4000.0 + after_ms)
    records.asked["r"].kept = kept
    records.ran.clear()


def closed_unanswered(records, count, silent=False):
    """So many requests that an endpoint ran end without an answer while no node stops."""
    add_calm_end(records)
    for number in range(count):
        name = f"k{number}"
        closed = attrs.evolve(records.asked["r"], request_id=name, outcome="broken", status=0)
        records.asked[name] = closed
        records.ran.append(attrs.evolve(records.ran[0], request_id=name))
    if silent:
        records.silences.append(Silence("e", closed.at_ms, closed.ended_ms))


def cut_across_kill(records):
    cut_by_stop(records, 4000.0)
    asked = records.asked["r"]
    records.disturbances.append(Disturbance(0, "node", asked.ended_ms - 5, asked.ended_ms))


def cut_by_endpoint(records):
    cut_by_stop(records, 4000.0)
    records.ran[0].broke = True


def cut_at_timeout(records):
    cut_by_stop(records, 4000.0)
    asked = records.asked["r"]
    records.least_timeout_ms["plain"] = int(asked.ended_ms - asked.at_ms)


def cut_on_restart(records):
    cut_by_stop(records, 4000.0)
    run = records.ran[0]
    records.restarts.append((run.endpoint, run.at_ms - 20))


def outlived(records):
    sent_ms = records.asked["r"].at_ms
    records.terminated.append(Terminated(0, sent_ms, ended_ms=sent_ms + GRACE_MS, outlived=True))


def outlived_in_stall(records):
    """The soak itself stood still at the end of the grace."""
    outlived(records)
    over_ms = records.terminated[0].ended_ms
    records.disturbances.append(Disturbance(-1, "node", over_ms - 300, over_ms))


def outlived_frozen(records):
    outlived(records)
    stop = records.terminated[0]
    stop.freeze = Disturbance(0, "node", stop.sent_ms - 200, stop.sent_ms + 200)
    records.disturbances.append(stop.freeze)


def continued(records, works_on_ms):
    """Another endpoint continues it, and the first one works on so long after that."""
    first = records.ran[0]
    at_ms = first.at_ms + 10
    first.ended_ms, first.whole = at_ms + works_on_ms, False
    after = Ran("r", "e2", first.service, at_ms, 2, whole=True, ended_ms=at_ms + 20)
    records.ran.append(after)


def continued_suspended(records, works_on_ms):
    """As `continued`, and the first endpoint is suspended for a second of that time."""
    continued(records, works_on_ms)
    begin_ms = records.ran[-1].at_ms + 100
    records.silences.append(Silence("e", begin_ms, begin_ms + 1000))


def repeated_and_continued(records, works_on_ms):
    """As `continued`, after it had come at the first endpoint again and soon ended there."""
    continued(records, works_on_ms)
    first, after = records.ran
    again = attrs.evolve(first, at_ms=after.at_ms - 5, ended_ms=after.at_ms + 5)
    records.ran.insert(1, again)


def prefilled_twice(records, works_on_ms):
    """Another endpoint prefills it as well, and the first one works on so long after that."""
    asked = records.asked["r"]
    for endpoint, at_ms, ended_ms in (
        ("p1", asked.at_ms + 1, asked.at_ms + 2 + works_on_ms),
        ("p2", asked.at_ms + 2, asked.at_ms + 3),
    ):
        records.prefilled.append(Ran("r", endpoint, "llm", at_ms, ended_ms=ended_ms))


def continued_across_cut(records):
    continued(records, 401.0)
    at_ms = records.asked["r"].at_ms
    records.disturbances.append(Disturbance(-1, "path", at_ms, at_ms + 500, "e"))


def left_silent(records):
    """Its caller left while the endpoint was suspended."""
    asked, run = records.asked["r"], records.ran[0]
    asked.outcome, run.ended_ms = "left", asked.ended_ms + 1500
    add_calm_end(records)
    records.silences.append(Silence("e", asked.at_ms, asked.ended_ms + 1500))


STOP_CASES = {
    "was sent long after SIGTERM, passed on and cut": (
        "gen",
        lambda seen: cut_by_stop(seen, 3100.0),
    ),
    "was cut in a stop before its last sixth": (
        "gen",
        lambda seen: cut_by_stop(seen, 1000.0, cut_after_ms=5000.0),
    ),
    "was cut in a stop though its endpoint had ended its work": (
        "gen",
        lambda seen: cut_by_stop(seen, 1000.0, work_ends_ms=6000.0),
    ),
    "was sent soon after SIGTERM and cut at the end of the grace": (
        "gen",
        lambda seen: cut_by_stop(seen, 2900.0),
    ),
    "was long, cut at the end of the grace and made whole by its endpoint": (
        "long",
        lambda seen: cut_while_endpoint_ends(seen, 7200.0),
    ),
    "was long, cut before the last sixth and made whole by its endpoint": (
        "long",
        lambda seen: cut_while_endpoint_ends(seen, 5000.0),
    ),
    "was cut in a stop after its prompt was read": ("gen", cut_after_prefill),
    "was held and closed in a stop": ("gen", lambda seen: closed_held(seen, 451.0)),
    "was held and closed in a stop on a new connection": (
        "gen",
        lambda seen: closed_held(seen, 451.0, kept=False),
    ),
    "was closed in a stop as it came": ("gen", lambda seen: closed_held(seen, 449.0)),
    "was one of four that were closed without an answer": (
        "again",
        lambda seen: closed_unanswered(seen, 4),
    ),
    "was one of three that were closed without an answer": (
        "again",
        lambda seen: closed_unanswered(seen, 3),
    ),
    "was one of four that were closed while their endpoint was suspended": (
        "again",
        lambda seen: closed_unanswered(seen, 4, silent=True),
    ),
    "was cut by a kill across a stop": ("gen", cut_across_kill),
    "was broken off by its endpoint in a stop": ("gen", cut_by_endpoint),
    "reached its timeout in a stop": ("gen", cut_at_timeout),
    "was cut in a stop as its endpoint had restarted": ("gen", cut_on_restart),
    "was at a node that outlived its grace": ("again", outlived),
    "was at a node that outlived its grace after its own freeze": ("again", outlived_frozen),
    "was at a node that outlived its grace in a stall of the soak": ("again", outlived_in_stall),
    "continued elsewhere while its endpoint worked on": (
        "res",
        lambda seen: continued(seen, 401.0),
    ),
    "continued elsewhere and its endpoint stopped soon": (
        "res",
        lambda seen: continued(seen, 399.0),
    ),
    "came again, continued elsewhere and ran on from its first send": (
        "res",
        lambda seen: repeated_and_continued(seen, 401.0),
    ),
    "came again, continued elsewhere and soon ended": (
        "res",
        lambda seen: repeated_and_continued(seen, 399.0),
    ),
    "continued elsewhere while its endpoint was suspended": (
        "res",
        lambda seen: continued_suspended(seen, 1399.0),
    ),
    "is a page that ran again while its endpoint worked on": (
        "again",
        lambda seen: continued(seen, 401.0),
    ),
    "is a page that ran again, and its suspended endpoint worked on": (
        "again",
        lambda seen: continued_suspended(seen, 1401.0),
    ),
    "is a page that ran again while its endpoint was suspended": (
        "again",
        lambda seen: continued_suspended(seen, 1399.0),
    ),
    "was prefilled elsewhere while its endpoint worked on": (
        "res",
        lambda seen: prefilled_twice(seen, 401.0),
    ),
    "was prefilled elsewhere and its endpoint stopped soon": (
        "res",
        lambda seen: prefilled_twice(seen, 399.0),
    ),
    "continued elsewhere while the path to its endpoint was cut": ("res", continued_across_cut),
    "ran on at a suspended endpoint though its caller left": ("res", left_silent),
}
