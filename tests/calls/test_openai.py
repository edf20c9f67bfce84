import openai
import pytest

from tests.calls import support

EXPECTED_TEXT = ''.join(f'word{number} ' for number in range(5))


@pytest.fixture(scope='module')
def shared_deployment():
    deployment = support.start(silence_s=0.5)
    yield deployment
    support.reset_faults(deployment)
    deployment.stop()


@pytest.fixture
def deployment(shared_deployment):
    support.reset_faults(shared_deployment)
    yield shared_deployment
    support.reset_faults(shared_deployment)


def make_client(deployment, key=None):
    # Automatic retries stay enabled, as by default in the client.
    return openai.OpenAI(
        base_url=f'{deployment.urls[0]}/v1', api_key=key or deployment.key
    )


class TestOpenAiClient:
    def ask(self, deployment, **fields):
        return make_client(deployment).chat.completions.create(
            model='writer',
            messages=[{'role': 'user', 'content': 'A blurb, please.'}],
            max_tokens=5,
            **fields,
        )

    def test_reads_a_complete_chat(self, deployment):
        answer = self.ask(deployment)
        assert answer.choices[0].message.content == EXPECTED_TEXT
        assert answer.choices[0].finish_reason == 'stop'
        assert answer.usage.completion_tokens == 5

    def test_reads_a_streamed_chat(self, deployment):
        chunks = list(self.ask(deployment, stream=True))
        text = ''.join(one.choices[0].delta.content or '' for one in chunks)
        assert text == EXPECTED_TEXT

    def test_reads_a_completion(self, deployment):
        answer = make_client(deployment).completions.create(
            model='writer', prompt='A blurb', max_tokens=5
        )
        assert answer.choices[0].text == EXPECTED_TEXT

    def test_lists_accessible_models_then_streams(self, deployment):
        client = make_client(deployment)
        models = [one.id for one in client.models.list()]
        assert models == ['writer']
        chunks = client.completions.create(
            model=models[0], prompt='A blurb', max_tokens=5, stream=True
        )
        assert ''.join(one.choices[0].text for one in chunks) == EXPECTED_TEXT

    def test_list_requires_a_key(self, deployment):
        with pytest.raises(openai.AuthenticationError):
            make_client(deployment, 'th-no-key').models.list()

    def test_reads_a_streamed_completion(self, deployment):
        chunks = make_client(deployment).completions.create(
            model='writer', prompt='A blurb', max_tokens=5, stream=True
        )
        assert ''.join(one.choices[0].text for one in chunks) == EXPECTED_TEXT

    def test_raises_on_an_unknown_key(self, deployment):
        with pytest.raises(openai.AuthenticationError):
            make_client(deployment, 'th-no-key').completions.create(
                model='writer', prompt='x'
            )

    def test_raises_on_a_forbidden_service(self, deployment):
        with pytest.raises(openai.PermissionDeniedError) as raised:
            make_client(deployment).completions.create(model='gpt', prompt='x')
        assert raised.value.body['verdict'] == 'not_run'

    def test_raises_on_an_invalid_token_limit(self, deployment):
        with pytest.raises(openai.BadRequestError):
            make_client(deployment).completions.create(
                model='writer', prompt='x', max_tokens=0
            )

    def test_raises_on_an_interrupted_stream(self, deployment):
        support.set_faults(deployment, forgets_streams=True, cut_after=2)
        with pytest.raises(openai.APIError):
            list(self.ask(deployment, stream=True))

    def test_does_not_retry_a_call_that_may_have_run(self, deployment):
        support.set_faults(deployment, forgets_streams=True, cut_after=2)
        with pytest.raises(openai.InternalServerError):
            self.ask(deployment, extra_headers={'X-Repeatable': 'no'})
        assert support.count_runs(deployment) == [1]
