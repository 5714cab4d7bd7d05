"""Scenarios on a small site whose nodes die or are stopped under streams."""

import anyio
from behave import then, when

from saffronworks.standins.callers import LoadPlan, expected_answer, run_load
from saffronworks.standins.sites import SiteShape
from saffronworks.tests.plays import (
    LONG_TOKENS,
    SLOW,
    TOKENS,
    addresses,
    load_while,
    loaded_engine,
    on_site,
    others,
    owner_of,
)


async def still_answers(context, site, *dead):
    """After a death, the nodes that are left must answer; kept apart from the load's answers."""
    plan = LoadPlan(4, 10.0, letter_characters=100, max_tokens=8)
    context.after = await run_load(addresses(others(site, *dead)), plan)


@then("the other nodes still answer")
def they_answer(context):
    wrong = [a for a in context.after if a.text != expected_answer(a.prompt, 8)]
    assert not wrong, wrong[:3]


def die_under_streams(context, choose):
    async def play(site, tasks):
        dead = choose(site)
        await anyio.sleep(0.3)

        async def act():
            await loaded_engine(site)
            for node in dead:
                node.kill()

        # Long enough that no stream ends by itself before the test does.
        plan = LoadPlan(12, 5.0, letter_characters=100, max_tokens=LONG_TOKENS)
        await load_while(context, dead, plan, act, after_s=0.05)
        await still_answers(context, site, *dead)

    on_site(context, SiteShape(profile=SLOW, max_tokens=LONG_TOKENS), play)


@when("a node dies under streams")
def node_dies(context):
    die_under_streams(context, lambda site: [others(site, owner_of(site))[0]])


@when("the owner and another entry node die together under streams")
def both_die(context):
    die_under_streams(context, lambda site: [owner_of(site), others(site, owner_of(site))[0]])


@when("the owner dies under streams of another node")
def owner_dies(context):
    async def play(site, tasks):
        owner = owner_of(site)

        async def act():
            await loaded_engine(site)
            owner.kill()

        plan = LoadPlan(16, 40.0, letter_characters=100, max_tokens=TOKENS)
        await load_while(context, others(site, owner)[:1], plan, act, after_s=0.05)

    on_site(context, SiteShape(profile=SLOW, patience_ms=20_000), play)


@when("a node is stopped under streams")
def planned_stop(context):
    async def play(site, tasks):
        owner = owner_of(site)

        async def act():
            await loaded_engine(site)
            owner.stop()

        plan = LoadPlan(6, 5.0, letter_characters=100, max_tokens=TOKENS)
        await load_while(context, [owner], plan, act, after_s=0.05)

    on_site(context, SiteShape(profile=SLOW, patience_ms=20_000), play)
