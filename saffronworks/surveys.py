"""Surveys of all nodes by message: burn counts and versions in force, asked by an operator."""

import anyio

from saffronworks.burn import BurnRecorder
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.members import MemberService
from saffronworks.messages import NodeAnswer, SurveyQuery
from saffronworks.relays import RelayService

__all__ = ["SurveyService"]

ANSWER_S = 1.0
LOOK_S = 0.02


class SurveyService:
    """Asks all live members of the region, and answers when asked."""

    name = "surveys"

    def __init__(self, zone: str, recorder: BurnRecorder):
        self._zone = zone
        self._recorder = recorder
        self._serial = 0
        self._answers: dict[int, list[NodeAnswer]] = {}

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Answer queries and collect answers until cancelled."""
        await kernel.dispatch(self.name, mailbox, lambda message: self._handle(kernel, message))

    def _handle(self, kernel: Kernel, message: SurveyQuery | NodeAnswer) -> None:
        match message:
            case SurveyQuery():
                self._answer(kernel, message)
            case NodeAnswer() if message.survey in self._answers:
                self._answers[message.survey].append(message)

    def make_answer(self, kernel: Kernel, survey: int, burn: bool) -> NodeAnswer:
        """This node's own answer."""
        relays: RelayService = kernel.find("relays")
        versions = {key: found.version for key, found in relays.state.documents.items()}
        counts = self._recorder.snapshot(kernel.now_ms()) if burn else None
        return NodeAnswer(survey, kernel.node, self._zone, versions, counts)

    def _answer(self, kernel: Kernel, query: SurveyQuery) -> None:
        members: MemberService = kernel.find("members")
        answer = self.make_answer(kernel, query.survey, query.burn)
        members.send(kernel, query.asked_by, answer)

    async def ask_all(self, kernel: Kernel, burn: bool) -> tuple[list[NodeAnswer], list[str]]:
        """The answers, this node's first, and the members that did not answer in time."""
        members: MemberService = kernel.find("members")
        others = [name for name in members.live() if name != kernel.node]
        self._serial += 1
        survey = self._serial
        answers = self._answers[survey] = [self.make_answer(kernel, survey, burn)]
        for name in others:
            members.send(kernel, name, SurveyQuery(survey, kernel.node, burn))
        with anyio.move_on_after(ANSWER_S):
            while len(answers) <= len(others):
                await anyio.sleep(LOOK_S)
        del self._answers[survey]
        heard = {answer.node for answer in answers}
        return answers, [name for name in others if name not in heard]
