"""What scenarios on a small site share: bring it up, act on it, and look that nothing is held."""

import anyio

from saffronworks.standins.callers import run_load
from saffronworks.standins.sites import Site, wait_until
from saffronworks.standins.standin_models import EngineProfile

FREE_WITHIN_S = 15
QUICK = EngineProfile(slots=6, step_ms=4.0)
SLOW = EngineProfile(slots=6, step_ms=30.0)
TOKENS = 48
LONG_TOKENS = 4000


def on_site(context, shape, play):
    """Bring a site up, let `play(site, tasks)` act, then wait until the engines hold nothing."""

    async def main():
        async with anyio.create_task_group() as tasks:
            site = Site(tasks, shape)
            await site.start()
            # Nodes that start while the machine is short of processor time may for a moment hold
            # each other suspect, and then no node owns the cell yet.
            assert await wait_until(lambda: any(node.owner.states for node in site.nodes))
            context.answers = []
            await play(site, tasks)
            context.memory_freed = await wait_until(
                lambda: site.engine_memory_held() == 0, limit_s=FREE_WITHIN_S
            )
            context.memory_held = site.engine_memory_held()
            tasks.cancel_scope.cancel()

    anyio.run(main)


def addresses(nodes):
    """Where the callers of these nodes are served."""
    return [node.caller_address for node in nodes]


async def load_while(context, nodes, plan, act, after_s=0.4):
    """Run a load over `nodes`, and `act()` in its middle."""

    async def load():
        context.answers += await run_load(addresses(nodes), plan)

    async with anyio.create_task_group() as both:
        both.start_soon(load)
        await anyio.sleep(after_s)
        await act()


def owner_of(site):
    return next(node for node in site.nodes if node.owner.states)


def others(site, *nodes):
    return [node for node in site.nodes if node not in nodes]


async def loaded_engine(site):
    """Wait for a decode engine with a running stream that has given some tokens."""

    def find():
        return [
            engine
            for engine in site.engines.values()
            if any(len(stream.tokens) > 2 and stream.running for stream in engine.streams.values())
        ]

    assert await wait_until(find)
    return find()[0]
