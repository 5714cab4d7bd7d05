"""Steps on a part of prompts that crashes endpoints, on the whole path over loopback."""

import time

import anyio
import attrs
from behave import then, when

from saffronworks.tests.crashing_servers import CRASHING_PART, Arrivals, CrashingServer
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.platform_place import on_platform

# The users' bounds (`contact_ms`): crashing requests may reach endpoints for this long after the
# fifth crash, and other requests are served again from twice this on.
CONTACT_S = 3.0
ENDS = 5
PLAYED_S = 2 * CONTACT_S + 2.0
FIRST_PART = "f1"
PAUSE_S = 0.15
# Time from the arrival of a sound request to its first event.
SOUND_WORK_S = 0.1


@attrs.frozen
class Sound:
    """A request without the crashing part, and whether its first attempt was served."""

    sent_s: float
    served: bool


def crashing_engines(arrivals, count=4):
    decoders = [CrashingServer(f"d{index}", "llm", "decode", arrivals) for index in range(count)]
    return [*decoders, FakeServer("p0", "llm", "prefill")]


async def generate(place, request_id, parts, **options):
    prefix = ",".join(f"{part}:200" for part in (*parts, f"{hash(request_id) & 0xFFFFFF:x}"))
    headers = {"Model": "m", "Prompt-Prefix": prefix, "Token-Counts": "5000,9000"}
    headers["Length-Hint"] = "3000"
    return await place.ask("/res/", request_id, headers, request_id.encode(), **options)


@when("different requests that share a part which crashes engines are sent to two nodes in turn")
def one_part(context):
    context.arrivals = arrivals = Arrivals()
    context.sound = []
    servers = crashing_engines(arrivals)

    async def ask_sound(place, number):
        sent_s = time.monotonic()
        parts = (FIRST_PART, f"a{number % 3}")
        raw = await generate(place, f"s{number}", parts, node=place.nodes[number % 2])
        served = raw.startswith(b"HTTP/1.1 200 ") and raw.endswith(b"0\r\n\r\n")
        context.sound.append(Sound(sent_s, served))

    async def play(place):
        for server in servers:
            server.store = place.store
            server.work_s = SOUND_WORK_S
        number, ends_s = 0, arrivals.ends_s
        begun_s = time.monotonic()
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < begun_s + PLAYED_S + (
                ends_s[:ENDS][-1] - begun_s if ends_s else 0
            ):
                number += 1
                parts = (FIRST_PART, CRASHING_PART)
                tasks.start_soon(ask_sound, place, number)
                await generate(place, f"x{number}", parts, node=place.nodes[number % 2])
                await anyio.sleep(PAUSE_S)

    on_platform(servers, play, count=2)


@then("they reach engines at most three times from three seconds after the fifth crash on")
def bounded(context):
    arrivals = context.arrivals
    if len(arrivals.ends_s) < ENDS:
        return
    sends = arrivals.sends_after_end(ENDS, CONTACT_S)
    assert sends <= 3, f"{sends} sends, {len(arrivals.ends_s)} ends"


@then("from six seconds on, other requests with their first part are served")
def sound_served(context):
    from_s = context.arrivals.ends_s[:ENDS][-1] + 2 * CONTACT_S
    late = [sound.served for sound in context.sound if sound.sent_s >= from_s]
    assert len(late) >= 5, len(late)
    assert sum(late) >= len(late) / 2, f"{sum(late)} of {len(late)} served"
