"""Services of a kernel that raise, and messages that their handlers can't take."""

import anyio
from behave import given, then, when

from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.figures import MetricsRecorder
from saffronworks.forwarding.planning.service import MemoryPlanner
from saffronworks.kernel import MAX_FAILURES, STEADY_MS, Kernel, ServiceHealth
from saffronworks.tests.platform_place import engines, on_platform, web_servers


class Counting:
    """Records messages; raises in its first `failures` runs, and for the message `spoiled`."""

    def __init__(self, name, failures=0):
        self.name, self.failures, self.runs, self.heard = name, failures, 0, []

    async def run(self, kernel, mailbox):
        self.runs += 1
        if self.runs <= self.failures:
            raise RuntimeError("a test's failure")
        await kernel.dispatch(self.name, mailbox, self.handle)

    def handle(self, message):
        if message == "spoiled":
            raise OverflowError
        self.heard.append(message)


def play(context, messages):
    async def main():
        async with anyio.create_task_group() as tasks:
            context.kernel.start(tasks)
            for message in messages:
                for service in context.services:
                    context.kernel.post(service.name, message)
            with anyio.fail_after(3):
                while any("last" not in service.heard for service in context.services):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def register(context, *services):
    context.kernel, context.services = Kernel("n", lambda: 0), services
    for service in services:
        context.kernel.register(service)


@given("a service that raises twice when it starts, and another one")
def failing_service(context):
    register(context, Counting("failing", 2), Counting("sound"))


@given("a service that can't handle one of its messages")
def spoiled_service(context):
    register(context, Counting("one"))


@given("a service that starts a background task that raises")
def failing_task(context):
    register(context, Counting("one"))
    (service,) = context.services
    run = service.run

    async def fail():
        raise RuntimeError("a test's failure")

    async def spawn_and_run(kernel, mailbox):
        kernel.spawn(fail)
        await run(kernel, mailbox)

    service.run = spawn_and_run


@when("it is sent messages after that")
def send_after_failure(context):
    play(context, ["first", "last"])


@then("it handles all of them in its first run")
def handled_in_first_run(context):
    (service,) = context.services
    assert service.heard == ["first", "last"] and service.runs == 1
    assert not context.kernel.failures


@when("both are sent messages meanwhile")
def send_to_both_services(context):
    play(context, ["first", "last"])


@when("it is sent that one between others")
def send_spoiled(context):
    play(context, ["first", "spoiled", "last"])


@then("both handle all of them")
def handled_all(context):
    assert [service.heard for service in context.services] == [["first", "last"]] * 2
    assert context.kernel.failures == {"failing": 2}
    assert context.services[1].runs == 1


@then("it handles the others in its first run, and one is counted as dropped")
def handled_others(context):
    (service,) = context.services
    assert service.heard == ["first", "last"] and service.runs == 1
    assert context.kernel.dropped == {"one": 1}


@given("a service that fails three times in a row")
def fails_in_a_row(context):
    context.health, context.pauses, context.failing = ServiceHealth(), [], []
    for number in range(MAX_FAILURES):
        context.health.record_start(1000 * number)
        context.pauses.append(context.health.record_failure(1000 * number + 5))
        context.failing.append(context.health.is_failing(1000 * number + 999))


@then("its pauses grow, and it counts as failing until it has run for ten seconds")
def counts_as_failing(context):
    assert context.pauses == sorted(set(context.pauses)), context.pauses
    assert context.failing == [False, False, True], context.failing
    health = context.health
    health.record_start(5000)
    assert health.is_failing(5000 + STEADY_MS - 1) and not health.is_failing(5000 + STEADY_MS)
    assert health.record_failure(5000 + STEADY_MS) == context.pauses[0]


def fail_once(service, after_s):
    """Let a service raise some time after its first start."""
    run, runs = service.run, []

    async def fail():
        await anyio.sleep(after_s)
        raise RuntimeError("a test's failure")

    async def run_and_fail(kernel, mailbox):
        runs.append(1)
        async with anyio.create_task_group() as tasks:
            if len(runs) == 1:
                tasks.start_soon(fail)
            await run(kernel, mailbox)

    service.run = run_and_fail


@given("nodes whose services all fail half a second after their start")
def all_services_fail(context):
    context.fail = lambda node: [fail_once(one, 0.5) for one in node._kernel._services.values()]


@when("callers send requests and generations before, during and after that")
def ask_meanwhile(context):
    async def play(place):
        context.raws = []
        for number in range(30):
            context.raws.append(await place.ask("/once/a", f"r{number}"))
            context.raws.append(await place.generate("/gen/", f"g{number}"))
            await anyio.sleep(0.05)
        context.failures = [node._kernel.failures for node in place.nodes]
        context.names = set(place.node._kernel._services)
        context.ready = await place.ready()

    on_platform([*engines(), *web_servers()], play, count=2, prepare=context.fail)


@then("each gets its answer, each service has failed once, and the nodes are ready")
def served_on(context):
    assert all(raw.startswith(b"HTTP/1.1 200 ") for raw in context.raws), context.raws
    assert context.failures == [dict.fromkeys(context.names, 1)] * 2, context.failures
    assert context.ready


@given("a node on the platform with a service that fails three times in a row")
def fails_for_good(context):
    async def play(place):
        health = place.node._kernel._health["quotas"]
        for _ in range(MAX_FAILURES):
            health.record_failure(place.node._kernel.now_ms())
        context.ready, context.raw = await place.ready(), await place.ask("/once/a", "r0")

    on_platform(web_servers(), play)


@then("its readiness fails, and a request that reaches it is served")
def not_ready(context):
    assert not context.ready and context.raw.startswith(b"HTTP/1.1 200 "), context.raw


@when("one of two plans raises at its tick")
def tick_raises(context):
    def handle(kernel, service, event):
        if service == "broken":
            raise ZeroDivisionError

    planner = MemoryPlanner(Directory(), None, None, "n", MetricsRecorder("n"))
    planner._handle, planner._log_shares = handle, lambda *_, **__: None
    planner.plans = {"broken": None, "sound": None}
    for service in list(planner.plans):
        planner._tick_plan(Kernel("n", lambda: 0), service)
    context.planner = planner


@then("only that plan is dropped")
def one_dropped(context):
    assert list(context.planner.plans) == ["sound"]
