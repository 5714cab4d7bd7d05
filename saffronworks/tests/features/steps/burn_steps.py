"""Scenarios on the burn counts and their report."""

import tempfile
from pathlib import Path

import anyio
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.burn import MOST_SERIES, OTHER, WINDOWS, BurnRecorder, merge_burns
from saffronworks.reports import make_report, plot_report
from saffronworks.standins.callers import LoadPlan, run_load
from saffronworks.standins.sites import SiteShape
from saffronworks.tests.plays import QUICK, addresses, on_site

DAY_MS = 86_400_000


@given("any stream of requests over days")
def any_stream(context):
    context.gaps = st.lists(
        st.tuples(st.integers(0, 4_000_000), st.booleans()), min_size=1, max_size=50
    )


@then("each window counts what a naive search over its buckets counts")
def windows_agree(context):
    @forall(context.gaps)
    def run(gaps):
        recorder = BurnRecorder("n")
        now_ms, events = 10 * DAY_MS, []
        for gap_ms, failed in gaps:
            now_ms += gap_ms
            recorder.record("o", "m", False, False, failed, now_ms)
            events.append((now_ms, failed))
        counts = recorder.snapshot(now_ms).rows[0].counts
        for window, found in zip(WINDOWS, counts, strict=True):
            oldest = now_ms // window.bucket_ms - window.buckets + 1
            inside = [failed for at_ms, failed in events if at_ms // window.bucket_ms >= oldest]
            assert found == (len(inside), 0, 0, sum(inside)), window.name

    run()


@given("any requests spread over three nodes")
def spread(context):
    context.requests = st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.booleans()), max_size=40
    )


@then("the merged report counts each of them once")
def merged(context):
    @forall(context.requests)
    def run(items):
        recorders = [BurnRecorder(f"n{index}") for index in range(3)]
        for index, organisation, late in items:
            recorders[index].record(organisation, "m", late, False, False, DAY_MS)
        rows = merge_burns([recorder.snapshot(DAY_MS) for recorder in recorders])
        totals = {row.organisation: row.counts[0][:2] for row in rows}
        naive = {}
        for _, organisation, late in items:
            for name in (organisation, "(all)"):
                total, bad = naive.get(name, (0, 0))
                naive[name] = (total + 1, bad + late)
        assert totals == naive

    run()


@given("one request of each of {count:d} organisations and many of one")
def many_organisations(context, count):
    context.recorder, context.count = BurnRecorder("n"), 0
    for index in range(count):
        context.recorder.record(f"o{index}", "m", False, False, True, DAY_MS)
        context.count += 1
        if index % 20 == 0:
            context.recorder.record("busy", "m", False, False, False, DAY_MS)
            context.count += 1


@then("the series stay within their bound and no request is lost")
def within_bound(context):
    rows = context.recorder.snapshot(DAY_MS).rows
    assert len(rows) <= MOST_SERIES + 1, len(rows)
    assert sum(row.counts[-1][0] for row in rows) == context.count


@then("the busy organisation keeps a row of its own")
def busy_row(context):
    rows = {row.organisation: row for row in context.recorder.snapshot(DAY_MS).rows}
    assert rows["busy"].counts[-1][0] == 1450, rows["busy"]
    assert OTHER in rows


@given("a model that fails 2 of 100 requests for an hour")
def failing(context):
    context.recorder = BurnRecorder("n")
    for index in range(3600):
        context.recorder.record("o", "m", False, False, index % 50 == 0, DAY_MS + index * 1000)
    context.report = make_report([context.recorder.snapshot(DAY_MS + 3_600_000)], [])


@then("the report has a page for its failures")
def has_page(context):
    pages = [alert for alert in context.report["alerts"] if alert.startswith("page")]
    assert any("o m failed" in page for page in pages), context.report["alerts"]


@when("callers ask before and after all decode engines die")
def burn_rises(context):
    async def play(site, tasks):
        plan = LoadPlan(6, 5.0, letter_characters=100, max_tokens=8)
        await run_load(addresses(site.nodes), plan)
        context.before = await fleet_report(site)
        for name, engine in site.engines.items():
            if name.startswith("decode"):
                engine.kill()
        await run_load(addresses(site.nodes), plan)
        context.after = await fleet_report(site)

    on_site(context, SiteShape(profile=QUICK, ttft_ms=400, patience_ms=800), play)


async def fleet_report(site):
    node = site.nodes[-1]
    with anyio.fail_after(10):
        answers, silent = await node.surveys.ask_all(node.kernel, burn=True)
    assert len(answers) == len(site.nodes), silent
    return make_report([answer.burn for answer in answers], silent)


def failure_rate(report):
    rows = [row for row in report["burn"] if row["organisation"] == "(all)"]
    return next(row["5m"] for row in rows if row["objective"].startswith("failed"))


@then("the burn of failures has risen in the report of every node")
def has_risen(context):
    assert failure_rate(context.before) == 0.0
    assert failure_rate(context.after) > 1.0, context.after["burn"]


@then("its plot is written")
def plot_written(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "burn.png"
        plot_report(context.after, str(path))
        assert path.read_bytes().startswith(b"\x89PNG")
