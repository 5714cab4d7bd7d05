"""Scenarios on sign-off: a lost reply, a race, a silent store."""

from behave import given, then

from saffronworks import signoffs
from saffronworks.signoffs import SignOff, SignOffRecord


class FakeStore:
    """One object; `lose` replies after applying, or `down` altogether."""

    def __init__(self, version=0, record=None):
        self.version, self.record = version, record
        self.lose, self.down = 0, False

    def act(self, command, record):
        if self.down:
            return signoffs.Outage()
        match command:
            case signoffs.PutIf():
                if command.expected != self.version:
                    return signoffs.PutRefused()
                self.version, self.record = self.version + 1, record
                if self.lose:
                    self.lose -= 1
                    return signoffs.PutLost()
                return signoffs.PutDone(self.version)
            case _:
                return signoffs.ReadDone(self.version, self.record)


def drive(store, base, sign_off_id="mine"):
    state = SignOff(sign_off_id, base)
    record = SignOffRecord("text", sign_off_id, "ada")
    command = signoffs.start(state)
    while isinstance(command, signoffs.Read | signoffs.PutIf | signoffs.BackOff):
        command = signoffs.step(state, store.act(command, record))
    return command


@given("a store that applies a sign-off and loses the reply")
def losing(context):
    context.store = FakeStore()
    context.store.lose = 1


@then("the sign-off is accepted once")
def accepted_once(context):
    assert drive(context.store, 0) == signoffs.Accepted(1)
    assert context.store.version == 1


@given("another operator signed off first")
def other_first(context):
    context.store = FakeStore(4, SignOffRecord("other", "theirs", "grace"))


@then("the sign-off is refused and names the other")
def refused(context):
    assert drive(context.store, 3) == signoffs.Conflict(4, "grace", "theirs")


@given("a store that does not answer")
def silent_store(context):
    context.store = FakeStore()
    context.store.down = True


@then("the sign-off is unsettled")
def unsettled(context):
    assert isinstance(drive(context.store, 0), signoffs.Unsettled)


@then("the same sign-off id is accepted once the store is back")
def accepted_later(context):
    context.store.down = False
    assert drive(context.store, 0) == signoffs.Accepted(1)
    assert drive(context.store, 0) == signoffs.Accepted(1)
