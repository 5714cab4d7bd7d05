"""Scenarios on organisations without a node: what is read, decided and remembered of them."""

import msgspec
from behave import then

from saffronworks.forwarding.identity import Authenticator
from saffronworks.forwarding.messages import CallerRequest, Refuse
from saffronworks.forwarding.organisations import Organisation, parse_key
from saffronworks.platform.configuration import read_configuration
from saffronworks.tests.endpoint_plays import route
from saffronworks.tests.platform_place import CONFIG

KEY, OTHER_KEY = "banfqasnmgkcuyj8pjbv", "q7vd2m0c4hs8xw1t5znr"


def request_with(key, organisation=None):
    return CallerRequest(
        "r", "POST", "/a", "h", (), b"body", 0, 900, key=key, organisation=organisation
    )


@then("a key that it doesn't know is refused as not run, and the ones it knows are served")
def out_of_touch(context):
    known, unknown = parse_key([KEY]), parse_key([OTHER_KEY])
    whose = Organisation("huka270")
    for in_touch, told in ((True, 401), (False, 503)):
        identities = Authenticator(lambda told=in_touch: told, {known: whose})
        assert identities.authenticate(request_with(known), route()) == whose
        refusal = identities.authenticate(request_with(unknown), route())
        assert isinstance(refusal, Refuse) and refusal.status == told, refusal
        assert refusal.not_run is not in_touch
        # What can be no key at all is none in any version.
        assert identities.authenticate(request_with(None), route()).status == 401


@then("all findings of a configuration's organisations are listed, without a key")
def bad_organisations(context):
    tenants = [
        {"name": "a", "api_keys": [KEY], "unit": "words", "rate_per_s": -1},
        {"name": "a", "api_keys": ["", "x y"], "burst": -2, "priority": -1},
        {"name": "c\r\nX: y", "api_keys": [KEY], "plain_tokens": -1},
    ]
    read = read_configuration(msgspec.json.encode(CONFIG | {"tenants": tenants}))
    findings = "\n".join(read.err_value)
    for told in (
        "unit 'words'",
        "rate_per_s: -1",
        "another one has this name",
        "api_keys[0] is not of",
        "api_keys[1] is not of",
        "burst: -2",
        "priority: -1",
        "the name is empty",
        "is a key of 'a' too",
        "plain_tokens: -1",
    ):
        assert told in findings, (told, findings)
    assert KEY not in findings
    wrong_type = msgspec.json.encode(CONFIG | {"tenants": [{"name": "a", "api_keys": KEY}]})
    assert KEY not in "\n".join(read_configuration(wrong_type).err_value)


@then("the same body is another content for another organisation, and the same for its second key")
def contents(context):
    first = request_with(parse_key([KEY]), Organisation("a")).content
    assert first == request_with(parse_key([OTHER_KEY]), Organisation("a")).content
    assert first != request_with(parse_key([KEY]), Organisation("b")).content
