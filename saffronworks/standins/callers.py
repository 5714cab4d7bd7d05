"""A small load of callers: each sends one request and checks its whole answer."""

import json
import random

import anyio
import attrs
import httpcore

from saffronworks.standins.standin_models import answer_length, answer_token

__all__ = ["Answer", "LoadPlan", "ask", "expected_answer", "make_prompt", "run_load"]

MODEL = "opening-line"
GUIDANCE = "House guidance: be kind, be brief, ask one open question, promise nothing. " * 20
_NETWORK = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError)


@attrs.frozen
class LoadPlan:
    """How many requests, spaced how, over which nodes."""

    requests: int
    gap_ms: float
    letter_characters: int = 4000
    organisations: int = 8
    max_tokens: int = 48
    seed: int = 1


@attrs.define
class Answer:
    """What one caller got. `text` is compared with what the engines must have computed."""

    prompt: str
    status: int = 0
    outcome: str = ""
    text: str = ""
    whole: bool = False
    ttft_ms: float = 0.0
    pace_ms: float = 0.0
    error: str = ""
    tokens: int = 0


def make_prompt(rng: random.Random, characters: int) -> str:
    """A letter after the shared guidance."""
    words = [f"word{rng.randrange(10_000)}" for _ in range(max(1, characters // 9))]
    return GUIDANCE + " ".join(words)


def expected_answer(prompt: str, max_tokens: int) -> str:
    """The answer that every engine gives to a prompt."""
    total = answer_length(prompt, max_tokens)
    return "".join(answer_token(prompt, index) for index in range(total))


async def ask(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    prompt: str,
    max_tokens: int,
    stream: bool = True,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one completion and read its answer to the end."""
    answer = Answer(prompt)
    body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": stream}
    fields = {"content-type": "application/json", **(headers or {})}
    began_s = anyio.current_time()
    try:
        async with pool.stream(
            "POST",
            f"http://{address}/v1/completions",
            headers=[(key.encode(), value.encode()) for key, value in fields.items()],
            content=json.dumps(body).encode(),
            extensions={"timeout": {"connect": 2.0, "read": 60.0}},
        ) as response:
            answer.status = response.status
            names = {key.lower(): value.decode() for key, value in response.headers}
            answer.outcome = names.get(b"saffronworks-outcome", "")
            if response.status == 200 and stream:
                await _read_events(response, answer, began_s)
            else:
                _read_whole(await response.aread(), answer)
    except _NETWORK as error:
        answer.error = type(error).__name__
    return answer


def _read_whole(content: bytes, answer: Answer) -> None:
    body = json.loads(content)
    if answer.status == 200:
        answer.text = body["choices"][0]["text"]
        answer.whole = True
        answer.outcome = "completed"
    else:
        answer.error = body["error"]["message"]


async def _read_events(response: httpcore.Response, answer: Answer, began_s: float) -> None:
    rest = b""
    first_s = last_s = 0.0
    async for chunk in response.aiter_stream():
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            data = event.removeprefix(b"data: ")
            if data == b"[DONE]":
                answer.whole = True
                answer.outcome = "completed"
                continue
            body = json.loads(data)
            if "error" in body:
                answer.outcome = body["error"]["code"]
                answer.error = body["error"]["message"]
                continue
            text = body["choices"][0]["text"]
            if text:
                last_s = anyio.current_time()
                first_s = first_s or last_s
                answer.text += text
    answer.tokens = answer.text.count(" ")
    answer.ttft_ms = 1000 * (first_s - began_s) if first_s else 0.0
    answer.pace_ms = 1000 * (last_s - first_s) / max(1, answer.tokens - 1)


async def run_load(addresses: list[str], plan: LoadPlan) -> list[Answer]:
    """Send the plan's requests in a steady stream over the addresses in turn."""
    rng = random.Random(plan.seed)
    answers: list[Answer] = []
    connections = httpcore.AsyncConnectionPool(max_connections=1000)
    async with connections as pool, anyio.create_task_group() as tasks:
        for index in range(plan.requests):
            prompt = make_prompt(rng, plan.letter_characters)
            organisation = f"org-{rng.randrange(plan.organisations)}"
            address = addresses[index % len(addresses)]
            tasks.start_soon(
                _ask_into, answers, pool, address, prompt, plan.max_tokens, organisation
            )
            await anyio.sleep(rng.expovariate(1000.0 / plan.gap_ms))
    return answers


async def _ask_into(
    answers: list[Answer],
    pool: httpcore.AsyncConnectionPool,
    address: str,
    prompt: str,
    max_tokens: int,
    organisation: str,
) -> None:
    headers = {"x-organisation": organisation}
    answers.append(await ask(pool, address, prompt, max_tokens, headers=headers))
