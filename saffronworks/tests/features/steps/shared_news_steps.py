"""Drawn series of trouble at nodes that share store updates, in virtual time."""

from behave import then, when

from saffronworks.tests.shared_news_plays import TROUBLES, play_news

RESETS = ("reset", "reset_one")
# Plays by nodes, kinds of trouble and seeds; each number of nodes has several kinds.
PLAYS = (
    *((1, troubles, range(20)) for troubles in (TROUBLES, RESETS, ("silent",), ("refuse",))),
    *((8, troubles, range(6)) for troubles in (TROUBLES, RESETS, ("refuse",))),
    (12, TROUBLES, range(8, 16)),
    (12, ("fail", "reset_one"), range(3)),
)
LARGE_PLAYS = ((60, TROUBLES, range(1)), (60, ("freeze", "fail"), range(1)))


def play_all(plays, zones):
    return {
        (count, troubles, seed): play_news(seed, count, zones, troubles)[0]
        for count, troubles, seeds in plays
        for seed in seeds
    }


@when("publishers and others are struck beside changes of both kinds, in drawn series")
def strike_small(context):
    context.late = play_all(PLAYS, zones=1)


@when("nodes of three zones are struck beside changes of both kinds, in drawn series")
def strike_zones(context):
    context.late = play_all(LARGE_PLAYS, zones=3)


@then("each node in touch has each change in force within two seconds")
def in_time(context):
    late = {play: found for play, found in context.late.items() if found}
    assert not late, late
