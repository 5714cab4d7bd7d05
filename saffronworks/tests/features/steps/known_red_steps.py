"""Scenarios on the list of known failures."""

from behave import given, then

from tools.known_red import read_known_failures
from tools.run_tests import count_results

LINE = "a feature: a scenario | make test | none | it is late | issue 1"


@given("a list that names one scenario")
def named(context):
    context.known = read_known_failures(f"# open\n\n{LINE}\n").ok_value


@then("that one may fail and is printed, and another one fails the run")
def may_fail(context):
    count = count_results({"a feature: a scenario": "failed", "b": "passed"}, context.known)
    assert (count.passed, count.failed) == (1, 0), count
    assert count.remarks == ["known red: a feature: a scenario: it is late (issue 1)"], count
    count = count_results({"a feature: a scenario": "failed", "b": "failed"}, context.known)
    assert count.failed == 1 and "failed: b" in count.remarks, count


@then("one that is listed and passes, or that is not there, fails the run")
def not_true(context):
    assert count_results({"a feature: a scenario": "passed"}, context.known).failed == 1
    assert count_results({"b": "passed"}, context.known).failed == 1


@then("one that is listed as intermittent may pass or fail, and is printed, but must be there")
def intermittent(context):
    name = "a feature: a scenario"
    known = read_known_failures(f"{LINE} | intermittent").ok_value
    failed, passed = (count_results({name: how}, known) for how in ("failed", "passed"))
    assert (failed.passed, failed.failed, passed.passed, passed.failed) == (0, 0, 1, 0)
    assert all(name in count.remarks[0] for count in (failed, passed))
    assert count_results({"b": "passed"}, known).failed == 1


@then("lines that lack a field, stand twice or are too many are all found")
def malformed(context):
    many = [LINE.replace("a scenario", f"scenario {number}") for number in range(4)]
    text = "\n".join([*many, many[0], "a feature: no more | make test"])
    findings = read_known_failures(text).err_value
    assert len(findings) == 3 and "line 5" in findings[0] and "4 lines" in findings[2], findings
    assert "line 1" in read_known_failures(f"{LINE} | at times").err_value[0]
    many = [f"{line} | intermittent" for line in many]
    many += [
        LINE.replace("a feature", f"feature {number}") + " | intermittent" for number in (1, 2)
    ]
    assert read_known_failures("\n".join(many)).ok_value
    findings = read_known_failures("\n".join([*many, f"{LINE} | intermittent"])).err_value
    assert findings == ["7 lines, 6 at most"], findings
