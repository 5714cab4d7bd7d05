"""Scenarios on organisations without a node: configuration, identification and content keys."""

import msgspec
from behave import then

from saffronworks.forwarding.identity import Authenticator
from saffronworks.forwarding.messages import CallerRequest, Refuse
from saffronworks.forwarding.organisations import Organisation, parse_key
from saffronworks.platform.configuration import read_configuration
from saffronworks.tests.endpoint_fixtures import route
from saffronworks.tests.platform_place import CONFIG

KEY, OTHER_KEY = "banfqasnmgkcuyj8pjbv", "q7vd2m0c4hs8xw1t5znr"


def request_with(key, organisation=None):
    return CallerRequest(
        "r", "POST", "/a", "h", (), b"body", 0, 900, key=key, organisation=organisation
    )


@then("an unknown key is rejected as not run, and known keys are served")
def out_of_date(context):
    known, unknown = parse_key([KEY]), parse_key([OTHER_KEY])
    organisation = Organisation("huka270")
    for in_touch, expected in ((True, 401), (False, 503)):
        identities = Authenticator(lambda result=in_touch: result, {known: organisation})
        assert identities.authenticate(request_with(known), route()) == organisation
        refusal = identities.authenticate(request_with(unknown), route())
        assert isinstance(refusal, Refuse) and refusal.status == expected, refusal
        assert refusal.not_run is not in_touch
        # A malformed key is invalid in every configuration.
        assert identities.authenticate(request_with(None), route()).status == 401


@then("all findings on a configuration's organisations are listed, without a key")
def bad_organisations(context):
    tenants = [
        {"name": "a", "api_keys": [KEY], "unit": "words", "rate_per_s": -1},
        {"name": "a", "api_keys": ["", "x y"], "burst": -2, "priority": -1},
        {"name": "c\r\nX: y", "api_keys": [KEY], "plain_tokens": -1},
    ]
    read = read_configuration(msgspec.json.encode(CONFIG | {"tenants": tenants}))
    findings = "\n".join(read.err_value)
    for expected in (
        "unit 'words'",
        "rate_per_s: -1",
        "another organisation has this name",
        "api_keys[0] must have 1 to",
        "api_keys[1] must have 1 to",
        "burst: -2",
        "priority: -1",
        "the name is empty",
        "also belongs to 'a'",
        "plain_tokens: -1",
    ):
        assert expected in findings, (expected, findings)
    assert KEY not in findings
    wrong_type = msgspec.json.encode(CONFIG | {"tenants": [{"name": "a", "api_keys": KEY}]})
    assert KEY not in "\n".join(read_configuration(wrong_type).err_value)


@then("it is different content for another organisation, and the same content for a second key")
def contents(context):
    first = request_with(parse_key([KEY]), Organisation("a")).content
    assert first == request_with(parse_key([OTHER_KEY]), Organisation("a")).content
    assert first != request_with(parse_key([KEY]), Organisation("b")).content
