"""What scenarios on a small site share: bring it up, act on it, and look that nothing is held."""

import anyio

from saffronworks.standins.sites import Site, wait_until

FREE_WITHIN_S = 15


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
