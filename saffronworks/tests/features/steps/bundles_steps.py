from pathlib import Path

from behave import given, then, when
from result import Err

from saffronworks.bundles import read_bundle
from saffronworks.settings import read_settings

SAMPLE = Path(__file__).parents[4] / "samples" / "bundle.yaml"


@given("the sample bundle")
def given_sample(context):
    context.given_text = SAMPLE.read_text()


@given("the bundle text")
@given("the settings text")
def given_text(context):
    context.given_text = context.text


@when("it is checked")
def check_bundle(context):
    context.read = read_bundle(context.given_text, "bundle.yaml")


@when("they are checked")
def check_settings(context):
    context.read = read_settings(context.given_text, "node.yaml")


@then("there are 0 findings")
def no_findings(context):
    assert not isinstance(context.read, Err), context.read


@then("the findings are")
def findings_are(context):
    found = {(finding.line, finding.field) for finding in context.read.err_value}
    wanted = {(int(row["line"]), row["field"]) for row in context.table}
    assert found == wanted, context.read.err_value
