"""Hooks of the test run: derandomized properties, quiet logs."""

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
