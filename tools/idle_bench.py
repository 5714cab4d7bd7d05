"""Idle control cost of a node over nodes and endpoints, by cores and by real daemons."""

from tools.capacity_cores import measure_idle_fleet
from tools.capacity_processes import measure_idle, measure_idle_endpoints

__all__ = ["print_idle"]


def print_idle() -> None:
    """Print each figure; those of members are cores on virtual time, the others processes."""
    print("Idle control cost of a node: bytes, processor time, memory, store calls.")
    for measure in (measure_idle_fleet, measure_idle, measure_idle_endpoints):
        for name, value in measure().items():
            print(f"  {name:<44}{value:>12.3f}")
