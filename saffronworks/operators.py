"""The operators' HTTP interface of a node: status, lists, sign-off, metrics."""

import logging
from typing import Any

import anyio
import attrs
import msgspec
from result import Err, Ok

from saffronworks import signoffs
from saffronworks.bundles import read_bundle
from saffronworks.ends import EndRecorder
from saffronworks.entries import EntryService
from saffronworks.frontends import Frontend
from saffronworks.kernel import Kernel
from saffronworks.members import MemberService
from saffronworks.metrics import scrape_page
from saffronworks.owner.owners import BUNDLE_PREFIX, OwnerService
from saffronworks.relays import RelayService
from saffronworks.reports import make_report
from saffronworks.signoffs import SignOff, SignOffRecord
from saffronworks.stores import Moved, StoreClient
from saffronworks.surveys import SurveyService
from saffronworks.web import BadBody, Call
from saffronworks.wire import DECODE_ERRORS

__all__ = ["OperatorInterface"]

logger = logging.getLogger(__name__)

MOST_BUNDLE_BYTES = 900_000


class SignOffBody(msgspec.Struct):
    """A sign-off as an operator sends it."""

    name: str
    text: str
    sign_off_id: str
    signed_by: str
    base_version: int
    note: str = ""


class OperatorInterface:
    """Answers operators; `saffronctl` is its usual caller."""

    def __init__(self, kernel: Kernel, store: StoreClient, frontend: Frontend, ends: EndRecorder):
        self._frontend = frontend
        self._ends = ends
        self._kernel = kernel
        self._store = store

    async def handle(self, call: Call) -> None:
        """Answer one HTTP call."""
        match call.method, call.path:
            case "GET", "/healthz":
                await call.reply(200, {"status": "ok"})
            case "GET", "/readyz":
                ready = self._frontend.ready()
                await call.reply(200 if ready else 503, {"ready": ready})
            case "GET", "/metrics":
                await call.reply_bytes(200, scrape_page(), "text/plain; version=0.0.4")
            case "GET", "/v1/nodes":
                await call.reply(200, self._list_nodes())
            case "GET", "/v1/endpoints":
                await call.reply(200, self._list_endpoints())
            case "GET", "/v1/requests":
                await call.reply(200, self._list_requests())
            case "GET", "/v1/bundles":
                await call.reply(200, self._list_bundles())
            case "GET", "/v1/burn":
                await call.reply(200, await self._report_burn())
            case "GET", "/v1/in-force":
                await call.reply(200, await self._list_in_force())
            case "POST", "/v1/bundles":
                await self._sign_off(call)
            case _:
                await call.reply(404, {"error": f"no such page: {call.path}"})

    def _entry(self) -> EntryService:
        return self._kernel.find("entry")

    async def _report_burn(self) -> dict[str, Any]:
        surveys: SurveyService = self._kernel.find("surveys")
        answers, silent = await surveys.ask_all(self._kernel, burn=True)
        return make_report([answer.burn for answer in answers if answer.burn], silent)

    async def _list_in_force(self) -> dict[str, Any]:
        """For each bundle and availability zone, the lowest version that a node has in force."""
        surveys: SurveyService = self._kernel.find("surveys")
        answers, silent = await surveys.ask_all(self._kernel, burn=False)
        lowest: dict[tuple[str, str], list[int]] = {}
        for answer in answers:
            for key, version in answer.versions.items():
                if key.startswith(BUNDLE_PREFIX):
                    name = key.removeprefix(BUNDLE_PREFIX)
                    lowest.setdefault((name, answer.zone), []).append(version)
        rows = [
            {
                "bundle": name,
                "zone": zone,
                "lowest": min(found),
                "highest": max(found),
                "nodes": len(found),
            }
            for (name, zone), found in sorted(lowest.items())
        ]
        return {"in_force": rows, "silent": silent}

    def _list_nodes(self) -> list[dict[str, Any]]:
        members: MemberService = self._kernel.find("members")
        rows = [members.state.me, *(m.update for m in members.state.members.values())]
        return [
            {
                "name": row.name,
                "zone": row.zone,
                "region": row.region,
                "address": row.address,
                "status": row.status.value,
                "incarnation": row.incarnation,
            }
            for row in sorted(rows, key=lambda row: row.name)
        ]

    def _list_endpoints(self) -> list[dict[str, Any]]:
        owner: OwnerService = self._kernel.find("owner")
        now_ms = self._kernel.now_ms()
        return [
            {
                "cell": name,
                "endpoint": ledger.endpoint.name,
                "zone": ledger.endpoint.zone,
                "role": ledger.role.value,
                "circuit": ledger.circuit.state.value,
                "leaving": ledger.leaving,
                "slots": ledger.endpoint.slots,
                "decodes": len(ledger.decodes),
                "prefills": len(ledger.prefills),
                "foreign": ledger.foreign,
                "free": ledger.free_slots(now_ms),
                "queue": len(state.queue.items),
            }
            for name, state in sorted(owner.states.items())
            for ledger in state.ledgers.values()
        ]

    def _list_requests(self) -> dict[str, Any]:
        now_ms = self._kernel.now_ms()
        live = [
            {
                "request": runner.request.request_id,
                "model": runner.job.model.name,
                "organisation": runner.job.organisation,
                "phase": runner.request.phase.value,
                "attempt": runner.request.attempt,
                "delivered": runner.request.delivered,
                "age_ms": now_ms - runner.request.arrived_ms,
            }
            for runner in self._entry().runners.values()
        ]
        return {"live": live, "ended": dict(sorted(self._ends.counts.items()))}

    def _list_bundles(self) -> list[dict[str, Any]]:
        relays: RelayService = self._kernel.find("relays")
        rows = []
        for document in relays.find(BUNDLE_PREFIX):
            read = signoffs.read_record(document.content)
            record = read.unwrap_or(SignOffRecord("", "", "unknown"))
            since_ms = self._kernel.now_ms() - relays.in_force_ms[document.key]
            rows.append(
                {
                    "name": document.key.removeprefix(BUNDLE_PREFIX),
                    "version": document.version,
                    "signed_by": record.signed_by,
                    "sign_off_id": record.sign_off_id,
                    "in_force_for_ms": since_ms,
                    "text": record.text,
                }
            )
        return rows

    async def _sign_off(self, call: Call) -> None:
        try:
            body = msgspec.json.decode(await call.body(MOST_BUNDLE_BYTES), type=SignOffBody)
        except DECODE_ERRORS as error:
            raise BadBody(str(error)) from error
        checked = read_bundle(body.text, body.name)
        if isinstance(checked, Err):
            findings = [attrs.asdict(finding) for finding in checked.err_value]
            await call.reply(422, {"findings": findings})
            return
        if checked.ok_value.name != body.name:
            problem = f"the bundle calls itself {checked.ok_value.name!r}"
            await call.reply(422, {"findings": [{"file": body.name, "problem": problem}]})
            return
        result = await self._drive(body)
        logger.info(
            "event=sign_off bundle=%s by=%s id=%s result=%s",
            body.name,
            body.signed_by,
            body.sign_off_id,
            type(result).__name__,
        )
        match result:
            case signoffs.Accepted():
                await call.reply(200, {"version": result.version})
            case signoffs.Conflict():
                await call.reply(409, attrs.asdict(result))
            case signoffs.Unsettled():
                await call.reply(503, {"error": result.reason, "sign_off_id": body.sign_off_id})

    async def _drive(self, body: SignOffBody) -> signoffs.Command:
        """Run the sign-off core against the store to its last command."""
        key = BUNDLE_PREFIX + body.name
        record = SignOffRecord(body.text, body.sign_off_id, body.signed_by, body.note)
        state = SignOff(body.sign_off_id, body.base_version)
        command = signoffs.start(state)
        while True:
            match command:
                case signoffs.Read():
                    event = await self._read(key)
                case signoffs.PutIf():
                    event = await self._put(key, record, command.expected)
                case signoffs.BackOff():
                    await anyio.sleep(command.wait_ms / 1000)
                    event = await self._read(key)
                case _:
                    return command
            command = signoffs.step(state, event)

    async def _read(self, key: str) -> signoffs.Event:
        reply = await self._store.get(key)
        if not isinstance(reply, Ok):
            return signoffs.Outage()
        document = reply.ok_value
        if document is None:
            return signoffs.ReadDone(0, None)
        return signoffs.ReadDone(document.version, signoffs.read_record(document.content).ok())

    async def _put(self, key: str, record: SignOffRecord, expected: int) -> signoffs.Event:
        reply = await self._store.put(key, signoffs.write_record(record), expected)
        if isinstance(reply, Ok):
            return signoffs.PutDone(reply.ok_value)
        if isinstance(reply.err_value, Moved):
            return signoffs.PutRefused()
        return signoffs.PutLost()
