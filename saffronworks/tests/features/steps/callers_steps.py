"""Scenarios on callers, from the frontend to the engines, without sockets."""

import anyio
from behave import then, when

from saffronworks import request_events
from saffronworks.cancels import CancelOrder
from saffronworks.tests.request_path import HANGS, RequestPath, ask, line

MORE_THAN_HELD = 2000


def ordered_cancels(path):
    """What the cancel service was told."""
    orders = []
    inbox = path.kernel._inboxes["cancels"]
    while inbox.statistics().current_buffer_used:
        orders.append(inbox.receive_nowait())
    return orders


@when("a caller stops reading, its request's mailbox fills up, and it leaves")
def leaves(context):
    path = RequestPath([line("a"), line("b", offset=1), HANGS])
    caller = path.caller()
    caller.stop_reading()

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.serve, caller)
            await anyio.wait_all_tasks_blocked()
            (runner,) = path.entry.runners.values()
            for _ in range(MORE_THAN_HELD):
                runner.post(request_events.Tick())
            caller.leave()
            with anyio.move_on_after(2):
                while path.entry.runners:
                    await anyio.sleep(0.01)
            context.running = len(path.entry.runners)
            tasks.cancel_scope.cancel()

    anyio.run(main)
    context.path = path


@then("the request ends, and its engines are told")
def ended(context):
    assert context.running == 0, "it goes on for a caller that left"
    assert context.path.ends.counts == {"cancelled": 1}, context.path.ends.counts
    orders = {order.endpoint for order in ordered_cancels(context.path)}
    assert orders == {"p", "d"}, orders


@when("the owner grants a prefill at an endpoint that this node does not know")
def unknown_endpoint(context):
    context.path = RequestPath()
    context.path.entry.prefill = "new"
    context.caller = ask(context.path)


@then("the caller is told an outcome")
def told(context):
    assert context.caller.error is None, context.caller.error
    assert context.caller.headers["saffronworks-outcome"] == "not-run", context.caller.headers
    assert all(isinstance(order, CancelOrder) for order in ordered_cancels(context.path))


@when("an error that nobody foresaw meets a request before and after its first token")
def unforeseen(context):
    scripts = ([KeyError("lost")], [line("a"), KeyError("lost")])
    context.paths = [RequestPath(script) for script in scripts]
    context.callers = [ask(path) for path in context.paths]


@then("each caller is told unknown, the second by an event and a cut")
def both_told(context):
    first, second = context.callers
    assert first.error is None and first.whole, vars(first)
    assert first.headers["saffronworks-outcome"] == "unknown", first.headers
    assert second.closed and not second.ended and b'"code":"unknown"' in second.body, vars(second)


@then("each is counted as unknown, not as a caller that left")
def both_counted(context):
    counts = [path.ends.counts for path in context.paths]
    assert counts == [{"unknown": 1}, {"unknown": 1}], counts
