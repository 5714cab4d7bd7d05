"""Adapter to the users' platform; its wire names occur only in this package."""

import sys

# Nodes use asyncio only, but httpcore imports trio where it is installed. Without trio a start
# takes 0.54 s of processor time instead of 0.69 s; callers of a killed node wait for its restart.
sys.modules.setdefault("trio", None)  # type: ignore[arg-type]  # makes imports of trio fail
