"""A surge of new connections at one node, and what must hold of the requests that it reads."""

import anyio
import httpcore

from saffronworks.tests.soak.records import Asked, Records, Surged

__all__ = ["SURGE_KIND", "WORK_MS", "closed_unread", "send_surge", "surged_serve"]

# Processor time that is added to each request at a node, so that a surge overloads it.
WORK_MS = 6.0
SURGE_PER_S = 200
SURGE_KIND, DEADLINE_MS = "surge", 3000
UNREAD = "unread"
# From this time on the node serves at least this share of what it reads, compared with what the
# other nodes serve meanwhile; `MIN_READ` requests at least are compared.
GRACE_MS = 500
SERVED_SHARE = 0.75
MIN_READ = 20


async def send_surge(site, node, for_ms, whose):
    """Send requests to a node for a time, each on a connection of its own."""
    records, began_ms = site.records, site.now_ms()
    number = len(records.surges)
    records.surges.append(Surged(node, began_ms, began_ms + for_ms))
    async with anyio.create_task_group() as tasks:
        for index in range(int(for_ms / 1000 * SURGE_PER_S)):
            late_ms = began_ms + 1000 * index / SURGE_PER_S - site.now_ms()
            await anyio.sleep(max(0.0, late_ms) / 1000)
            request_id = f"{SURGE_KIND}{number}-{index}"
            asked = Asked(request_id, SURGE_KIND, node, site.now_ms(), DEADLINE_MS)
            if whose is not None:
                asked.organisation, asked.key = whose.organisation, whose.key
            records.asked[request_id] = asked
            tasks.start_soon(_send, site, asked)


async def _send(site, asked):
    fields = {"Host": "h.example", "Request-Id": asked.request_id}
    fields |= {"Deadline-Ms": str(asked.deadline_ms)} | ({"Key": asked.key} if asked.key else {})
    url = f"http://{site.caller_addresses[asked.node]}/again/"
    asked.outcome = UNREAD
    try:
        with anyio.fail_after(asked.deadline_ms / 1000 + 1.0):
            async with httpcore.AsyncConnectionPool() as pool:
                reply = await pool.request("GET", url, headers=fields)
        asked.outcome, asked.status, asked.body = "answered", reply.status, reply.content
        asked.signed = any(name.lower() == b"server-stamp" for name, _ in reply.headers)
    except TimeoutError:
        asked.outcome = "left"
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
        asked.problem = repr(error)
    asked.ended_ms = site.now_ms()


def closed_unread(records: Records, asked: Asked) -> bool:
    """Whether a node closed the connection of a surge unread, as an overloaded node may."""
    unread = asked.kind == SURGE_KIND and asked.outcome == UNREAD
    return unread and all(request_id != asked.request_id for _, request_id, _ in records.arrived)


def surged_serve(records: Records, undisturbed) -> list[str]:
    """Of the requests that a node reads in a surge, it serves nearly as many as other nodes do."""
    found = []
    for surge in records.surges:
        from_ms = surge.from_ms + GRACE_MS
        if not undisturbed(records, surge.node, surge.from_ms, surge.to_ms, "caller", "endpoint"):
            continue
        spanned = [
            asked
            for asked in records.asked.values()
            if from_ms <= asked.at_ms < surge.to_ms and asked.kind in (SURGE_KIND, "again")
        ]
        read = [
            asked
            for asked in spanned
            if asked.node == surge.node
            and asked.kind == SURGE_KIND
            and not closed_unread(records, asked)
        ]
        others = [asked for asked in spanned if asked.node != surge.node]
        if len(read) < MIN_READ or not others:
            continue
        share, usual = _served(read), _served(others)
        if share < SERVED_SHARE * usual:
            found.append(f"node {surge.node} served {share:.2f} of {len(read)}, others {usual:.2f}")
    return found


def _served(asked):
    return sum(one.outcome == "answered" and one.status == 200 for one in asked) / len(asked)
