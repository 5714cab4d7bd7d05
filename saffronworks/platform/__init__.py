"""Adapter to the users' platform: its wire names are decoded here, and only here."""

import sys

# Nodes run on asyncio alone. httpcore loads trio where it is installed, which takes a fifth of the
# processor time of a start: 0.69 s with it, 0.54 s without (means of five). Callers of a node that
# was killed wait for that.
sys.modules.setdefault("trio", None)  # type: ignore[arg-type]  # says that there is none
