"""Scenarios on the explanation of requests from log lines."""

import contextlib
import io
import tempfile
from pathlib import Path

from behave import given, then

from saffronworks.control import EXIT_BAD_INPUT, Control
from saffronworks.explain import count_causes, find_attempts, read_stories
from saffronworks.quota_reports import QuotaRow, count_quotas

LOG = """
12.1 node-a time=2026-01-01 10:00:00,100 level=INFO event=decide request=late after=Begin \
do=AskPlanner waited_ms=1
12.1 node-b time=2026-01-01 10:00:00,120 level=INFO event=plan request=late priority=52 \
do=MemoryGrant(request_id='late', instance='d0', reader='p0') waiting=0 runs=5
12.1 node-a time=2026-01-01 10:00:00,130 level=INFO event=decide request=late after=HoldTaken \
do=ReadPrompt waited_ms=31
12.9 node-a time=2026-01-01 10:00:00,930 level=INFO event=decide request=late after=PromptRead \
do=OpenStream waited_ms=831
13.0 node-a time=2026-01-01 10:00:01,000 level=INFO event=decide request=late \
after=StreamAnswered do=StartStream waited_ms=921
15.0 node-a event=answered request=late route=r first_ms=921 took_ms=2900 target_ms=900 runs=1
15.0 node-a event=answered request=good route=r first_ms=300 took_ms=2900 target_ms=900 runs=1
15.0 node-a event=plan request=full do=MemoryRefusal(request_id='full', retry_after_ms=2400)
15.0 node-a event=refuse request=full status=503 reason=memory-full not_run=True
15.0 node-a event=refuse request=alone status=503 reason=memory-full not_run=True
15.0 node-a event=endpoint_failed request=cut call=stream endpoint=d0 cause=reset sent=True
15.0 node-a event=cut request=cut route=r reason=broken-answer
15.0 node-a event=drain_decision request=late-cut route=r begins=True by=estimate chance=1.00
15.0 node-a event=cut request=late-cut route=r reason=stopping waited_ms=3900 since_stop_ms=7200
15.0 node-a event=cut request=early-cut route=r reason=stopping waited_ms=7900 since_stop_ms=7200
15.0 node-a event=send request=slow endpoint=e0
15.0 node-a event=answered request=slow route=r status=200 sends=1 took_ms=400 target_ms=300
15.0 node-a event=endpoint_failed request=failed status=500 executed=yes
15.0 node-a event=answered request=failed route=r status=500 took_ms=40 target_ms=900 runs=1
15.0 node-a event=caller_gone request=gone route=r after_ms=3600
15.0 node-a event=decide request=lost after=Begin do=AskPlanner waited_ms=1
a line of something else
"""

EXPECTED = {
    "late": ("late", "waited for reading of the prompt"),
    "good": ("in time", ""),
    "full": ("refused", "memory-full, planned"),
    "alone": ("refused", "memory-full, without a planner"),
    "cut": ("cut", "endpoint failed: stream reset"),
    "late-cut": ("cut", "its node stopped, begun while draining, by estimate"),
    "early-cut": ("cut", "its node stopped, begun before"),
    "slow": ("late", "endpoint's own time"),
    "failed": ("failed", "endpoint failed: answer status 500"),
    "gone": ("caller gone", "caller left"),
    "lost": ("no end", "its node ended or stands still"),
}


@given("log lines of requests that ended in different ways")
def log_lines(context):
    context.stories = read_stories(LOG.splitlines())


@then("each request's outcome and cause are told")
def outcomes(context):
    told = {name: (story.outcome, story.cause) for name, story in context.stories.items()}
    assert told == EXPECTED, told


@then("the waits of a late one add up from its decisions")
def waits(context):
    expected = {"place in memory": 30, "reading of the prompt": 800, "first event": 90}
    assert context.stories["late"].waits_ms == expected


@then("the table counts them, the most frequent first")
def table(context):
    rows = count_causes([*context.stories.values(), context.stories["cut"]])
    assert (rows[0].outcome, rows[0].requests, rows[0].example) == ("cut", 2, "cut")
    assert sum(row.requests for row in rows) == len(EXPECTED) + 1


def printed(*arguments, **options):
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        try:
            Control().explain(*arguments, **options)
        except SystemExit as ended:
            return out.getvalue(), ended.code
    return out.getvalue(), 0


@then("the command prints the table, or one request's lines")
def command(context):
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "node.log"
        file.write_text(LOG)
        text, code = printed(str(file))
        assert code == 0 and "memory-full, without a planner" in text, text
        text, code = printed(str(file), request="late")
        assert code == 0 and "cause: waited for reading of the prompt" in text, text
        assert "priority: 52" in text, text
        text, code = printed(str(file), request="late", json=True)
        assert code == 0 and '"waits_ms"' in text, text
        assert printed(str(file), request="nobody")[1] == EXIT_BAD_INPUT


@then("a file that is not there is named in the error")
def no_file(context):
    text, code = printed("no-such-file", "nor-this")
    assert code == EXIT_BAD_INPUT and "no-such-file" in text and "nor-this" in text
    assert printed()[1] == EXIT_BAD_INPUT


QUOTA_LOG = """
9.8 node-a event=quota request=r1 organisation=a cost=3270 do=Refused(retry_after_ms=7) holders=3
9.8 node-b event=quota request=r2 organisation=a cost=200 do=Refused(retry_after_ms=9) holders=3
9.9 node-c event=quota request=r3 organisation=b cost=200 do=Admitted(holder=None) holders=3
9.9 node-c event=quota request=r4 organisation=b cost=9000 do=Unknown() holders=3
9.9 node-d event=quota_share organisation=a used_up=True debt=400 share_per_s=500 share_burst=500
9.9 node-d event=quota_share organisation=a used_up=False debt=100 share_per_s=500 share_burst=500
9.9 node-d event=refuse request=r1 status=429 reason=over-quota
"""


@given("log lines of holders and of requests that they refused")
def quota_lines(context):
    context.lines = QUOTA_LOG.splitlines()


@then("a row for each organisation counts what was refused, and the command prints it")
def quota_rows(context):
    rows = count_quotas(context.lines)
    assert rows == [QuotaRow("a", 2, 0, 0, 1, 1500), QuotaRow("b", 0, 1, 1, 0, 0)], rows
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "node.log"
        file.write_text(QUOTA_LOG)
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            Control().quotas(str(file))
    assert "organisation" in printed.getvalue() and "1500" in printed.getvalue()


RESUMED_LOG = """
time=2026-01-01 00:00:01,000 event=stream_started request=r1 version=v1 first_request=None
time=2026-01-01 00:00:03,000 event=origin_found request=r3 first_request=r1 outcome=recorded
time=2026-01-01 00:00:02,000 event=origin_found request=r2 first_request=r1 outcome=recorded
time=2026-01-01 00:00:02,500 event=origin_found request=r4 first_request=None outcome=only-candidate
"""


@given("log lines of a stream that was resumed at two other nodes")
def resumed_lines(context):
    context.stories = read_stories(RESUMED_LOG.splitlines())


@then("each attempt leads to all of them, in order")
def all_attempts(context):
    for name in ("r1", "r2", "r3"):
        assert find_attempts(context.stories, name) == ["r1", "r2", "r3"], name
    assert find_attempts(context.stories, "r4") == ["r4"]
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "node.log"
        file.write_text(RESUMED_LOG)
        text, code = printed(str(file), request="r2")
    assert code == 0 and "attempts: ['r1', 'r2', 'r3']" in text, text
