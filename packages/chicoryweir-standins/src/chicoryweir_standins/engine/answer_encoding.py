"""Encodes OpenAI answers, as one document or as server-sent events."""

from __future__ import annotations

import dataclasses
import json
import typing

from chicoryweir_standins import answers

Body = dict[str, typing.Any]

END_MARKER = b"data: [DONE]\n\n"


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEncoder:
    """Encodes one answer; equal requests have equal events.

    Attributes:
        completion_id: Identifier of the completion.
        model: Name of the model that answers.
        is_chat: Whether the chat format is used.
    """

    completion_id: str
    model: str
    is_chat: bool

    def encode_token(self, token: str) -> bytes:
        """Returns the event of one token."""
        return self._encode_event(token, None)

    def encode_end(self) -> bytes:
        """Returns the event with the finish reason."""
        return self._encode_event("", "length")

    def encode_document(self, tokens: list[str], prompt_tokens: int) -> bytes:
        """Returns the whole answer as one JSON document."""
        text = "".join(tokens)
        choice: Body = {"index": 0, "finish_reason": "length"}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(tokens),
            "total_tokens": prompt_tokens + len(tokens),
        }
        kind = "chat.completion" if self.is_chat else "text_completion"
        return json.dumps(
            {**self._make_common_fields(kind), "choices": [choice], "usage": usage}
        ).encode()

    def _encode_event(self, token: str, finish_reason: str | None) -> bytes:
        choice: Body = {"index": 0, "finish_reason": finish_reason}
        if self.is_chat:
            choice["delta"] = {"content": token} if token else {}
        else:
            choice["text"] = token
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        event = {**self._make_common_fields(kind), "choices": [choice]}
        return b"data: " + json.dumps(event).encode() + b"\n\n"

    def _make_common_fields(self, kind: str) -> Body:
        return {
            "id": self.completion_id,
            "object": kind,
            "created": 0,
            "model": self.model,
        }


def create_encoder(body: Body, is_chat: bool) -> AnswerEncoder:
    """Creates the encoder of the answer to a request."""
    digest = answers.compute_digest(body)
    prefix = "chatcmpl" if is_chat else "cmpl"
    return AnswerEncoder(f"{prefix}-{digest:016x}", str(body["model"]), is_chat)
