"""Tests of an entry with the unmodified `openai` client library."""

import unittest

import openai

from tests import builders
from tests.fleet import Fleet

TOKENS = 5
MESSAGES = [{"role": "user", "content": f"len={TOKENS}"}]


class OpenAIClientTest(unittest.TestCase):
    """Completions, chat, streams, models and failures."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(Fleet())
        cls.client = cls._connect(builders.API_KEY)

    @classmethod
    def _connect(cls, key):
        return openai.OpenAI(
            base_url=f"http://{cls.fleet.entries[0]}/v1",
            api_key=key,
            max_retries=0,
            timeout=20,
        )

    def _assert_text(self, text):
        numbers = [int(word.partition(".")[2]) for word in text.split()]
        self.assertEqual(numbers, list(range(TOKENS)))

    def test_complete_responses_have_text_and_usage(self):
        completion = self.client.completions.create(
            model="chat", prompt=f"len={TOKENS}"
        )
        self._assert_text(completion.choices[0].text)
        self.assertEqual(completion.choices[0].finish_reason, "stop")
        self.assertEqual(completion.usage.completion_tokens, TOKENS)
        chat = self.client.chat.completions.create(
            model="chat", messages=MESSAGES
        )
        self._assert_text(chat.choices[0].message.content)
        self.assertEqual(chat.model, "chat")

    def test_streams_give_each_token_once(self):
        stream = self.client.completions.create(
            model="chat", prompt=f"len={TOKENS}", stream=True
        )
        self._assert_text("".join(chunk.choices[0].text for chunk in stream))
        stream = self.client.chat.completions.create(
            model="chat", messages=MESSAGES, stream=True
        )
        chunks = [chunk.choices[0].delta.content or "" for chunk in stream]
        self._assert_text("".join(chunks))

    def test_models_are_those_of_the_account(self):
        listed = [model.id for model in self.client.models.list()]
        self.assertEqual(listed, ["chat"])

    def test_failures_raise_the_exceptions_of_the_library(self):
        complete = self.client.completions.create
        with self.assertRaises(openai.NotFoundError) as caught:
            complete(model="none", prompt="")
        self.assertEqual(caught.exception.code, "not-found")
        self.assertEqual(
            caught.exception.response.headers["x-verdict"], "not-run"
        )
        with self.assertRaises(openai.BadRequestError):
            complete(model="chat", prompt="", max_tokens=-1)
        with self.assertRaises(openai.AuthenticationError):
            self._connect("acme.wrong").models.list()
