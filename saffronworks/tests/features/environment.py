"""Hooks of the test run: derandomized properties, quiet logs, no garbage of other scenarios."""

import gc
import logging

from hypothesis import HealthCheck, settings


def before_all(context):
    settings.register_profile(
        "fixed",
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=60,
        suppress_health_check=list(HealthCheck),
    )
    settings.load_profile("fixed")
    logging.disable(logging.CRITICAL)


def before_scenario(context, scenario):
    # A node freezes what it has at its start. Among objects of a whole run of the tests, a full
    # collection would stop the event loop for hundreds of ms.
    gc.collect()
    gc.freeze()
