"""Scenarios on state kept and written again after a restore of the store, without a network."""

import attrs
from behave import given, then, when
from result import Ok

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding import role_core as roles
from saffronworks.forwarding.directory import WITHHOLD_RESTORED_MS, Directory, EntryUpdate
from saffronworks.forwarding.ports import StoredObject
from saffronworks.forwarding.quarantine import events
from saffronworks.forwarding.role_keeper import _read_duty
from saffronworks.tests.endpoint_fixtures import endpoints
from saffronworks.tests.quarantine_plays import CRASHING, quarantined_fleet
from saffronworks.tests.revisions import at

# Virtual time of the restore.
RESTORED_MS = 9000


@given("a directory without an entry that is in the copy from which the store is restored")
def entry_removed(context):
    def make(draining=False):
        directory = Directory()
        endpoint = attrs.evolve(endpoints(1)[0], draining=draining)
        directory.put_listed(endpoint, at(5), now_ms=0)
        directory.remove_missing({endpoint.name}, at(8), now_ms=0)
        directory.remove_missing(set(), at(9), now_ms=1000)
        return directory, attrs.evolve(endpoint, draining=False)

    context.make_directory = make


def restore_entry(directory, endpoint, revision):
    update = directory.put_listed(endpoint, revision, now_ms=2000)
    directory.remove_missing({endpoint.name}, at(7, epoch=2), now_ms=2000)
    return update


@then("the old entry is not used for six seconds")
def not_used(context):
    directory, endpoint = context.make_directory()
    assert restore_entry(directory, endpoint, at(5, epoch=2)) is EntryUpdate.WITHHELD
    later_ms = 2000 + WITHHOLD_RESTORED_MS
    assert not directory.usable("s", 2000) and not directory.usable("s", later_ms - 1)
    assert directory.usable("s", later_ms) == [endpoint]


@then("it is used at once when its endpoint has written it again")
def written_again(context):
    directory, endpoint = context.make_directory()
    restore_entry(directory, endpoint, at(5, epoch=2))
    assert directory.put_listed(endpoint, at(6, epoch=2), now_ms=2500) is not EntryUpdate.WITHHELD
    assert directory.usable("s", 2500) == [endpoint]


@then("an entry that was draining when it was removed is draining when it is back")
def drains_back(context):
    directory, endpoint = context.make_directory(draining=True)
    restore_entry(directory, endpoint, at(5, epoch=2))
    assert not directory.usable("s", 2000 + WITHHOLD_RESTORED_MS)
    assert directory.named(endpoint.name).draining


@then("an entry that the restored store removes again stays removed")
def removed_again(context):
    directory, endpoint = context.make_directory()
    restore_entry(directory, endpoint, at(5, epoch=2))
    directory.remove(endpoint.name, now_ms=3000)
    assert not directory.usable("s", 2000 + WITHHOLD_RESTORED_MS)


@given("a node that holds the duty to order roles and one that does not")
def two_nodes_of_duty(context):
    context.engines = endpoints(3, Role.DECODE, "d") + endpoints(2, Role.PREFILL, "p")
    context.holder, context.other = (roles.RoleState(name, 3000, 300) for name in "no")
    roles.step(context.holder, roles.DutyTaken(at(900), took_over=False), 0)
    roles.step(context.other, roles.DutyHeldByOther(at(900)), 0)


@when("the store is restored from a copy without the duty")
def duty_lost(context):
    for state in (context.holder, context.other):
        for now_ms in range(0, RESTORED_MS, 500):
            roles.step(state, roles.EndpointsObserved([]), now_ms)
        roles.step(state, roles.StoreRestored(), RESTORED_MS)


def first_command(state, engines, from_ms):
    """Return a node's first command after `from_ms`, and its time."""
    for now_ms in range(from_ms, from_ms + 60_000, 100):
        command = roles.step(state, roles.EndpointsObserved(engines), now_ms)
        if command is not None:
            return command, now_ms
    raise AssertionError("the node issued no command")


@then("the holder claims it again, and orders only after a lease, with a higher fence")
def claims_again(context):
    command, asked_ms = first_command(context.holder, context.engines, RESTORED_MS)
    assert command == roles.TakeDuty(None) and asked_ms < RESTORED_MS + 6000
    reply = _read_duty(Ok(StoredObject("s", at(40, epoch=2), b"")), None, is_holder=True)
    assert roles.step(context.holder, reply, asked_ms) is None
    _, again_ms = first_command(context.holder, context.engines, asked_ms)
    assert again_ms >= asked_ms + 3300
    reply = _read_duty(Ok(StoredObject("s", at(44, epoch=2), b"")), at(40, epoch=2), is_holder=True)
    order = roles.step(context.holder, reply, again_ms)
    assert order.fence > at(900).fence


@then("the other one does not request it until all earlier orders have expired")
def other_waits(context):
    command, asked_ms = first_command(context.other, context.engines, RESTORED_MS)
    assert command == roles.TakeDuty(None)
    assert asked_ms >= RESTORED_MS + roles.ORDER_TIMEOUT_MS


@then("a confirmation that overwrote an object of the later epoch counts as taking it over")
def overwrote(context):
    written = Ok(StoredObject("s", at(41, epoch=2), b""))
    assert _read_duty(written, at(40, epoch=1), is_holder=True) == roles.DutyTaken(at(41, 2), True)
    assert _read_duty(written, at(40, epoch=2), is_holder=True) == roles.DutyTaken(at(41, 2), False)
    assert _read_duty(written, None, is_holder=False) == roles.DutyTaken(at(41, 2), False)


@then("owners write records of quarantined content again, and remove again what was cleared")
def recorded_again(context):
    fleet = quarantined_fleet()
    assert fleet.stored
    copy = dict(fleet.stored)
    fleet.stored.clear()
    for name in fleet.names:
        fleet.take(name, events.RecordsLost())
    assert fleet.stored.keys() == copy.keys()
    fleet.take(fleet.names[0], events.RunSucceeded(CRASHING))
    fleet.run(fleet.now_ms + 5000)
    fleet.stored |= copy
    for name in fleet.names:
        fleet.take(name, events.RecordsLost())
    assert CRASHING not in fleet.stored
