import json
import pathlib

import urllib3
from behave import given, then, when

from trefoilhinge.demo.commands import wait_ready
from trefoilhinge.demo.deployment import DeploymentOptions, start_deployment

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
POOL = urllib3.PoolManager(retries=False)


def post(context, instance, path, fields, **headers):
    return POOL.request(
        'POST',
        f'{context.deployment.urls[instance]}{path}',
        body=json.dumps(fields).encode(),
        headers={
            'Authorization': f'Bearer {context.deployment.key}',
            'Content-Type': 'application/json',
            **headers,
        },
    )


@given('a deployment of the document "{name}" with {count:d} instances')
def start(context, name, count):
    context.deployment = start_deployment(
        EXAMPLES / f'{name}.json',
        DeploymentOptions(instances=count, targets=3),
    )
    wait_ready(context.deployment)


@when(
    'a caller sends a prompt of {tokens:d} tokens to instance {instance:d} as a stream'
)
def stream(context, tokens, instance):
    fields = {
        'model': 'writer',
        'prompt': 'tea ' * tokens,
        'stream': True,
        'max_tokens': 8,
    }
    context.answer = post(context, instance, '/v1/completions', fields)


def book(context, key, instance):
    headers = {'Idempotency-Key': key}
    return post(
        context, instance, '/services/desk/bookings', {'seats': 2}, **headers
    )


@when('a caller books with the key "{key}" at instance {instance:d}')
def book_once(context, key, instance):
    context.answer = book(context, key, instance)


@then('the booking is refused with the verdict "{verdict}"')
def check_refused(context, verdict):
    assert context.answer.status == 409, context.answer.data
    assert context.answer.headers['X-Verdict'] == verdict


@then('the refusal offers a key')
def check_offer(context):
    example = json.loads(context.answer.data)['error']['example']
    name, _, context.offered = example.partition(': ')
    assert name == 'Idempotency-Key', example


@when('a caller books twice with the offered key at instance {instance:d}')
def book_twice(context, instance):
    context.answers = [
        book(context, context.offered, instance) for _ in range(2)
    ]


@then('the answer ends with its finish marker')
def check_finish(context):
    assert context.answer.status == 200, context.answer.data
    assert context.answer.data.endswith(b'data: [DONE]\n\n')


@then('the engines ran the request once')
def check_runs(context):
    runs = [n for one in context.deployment.engines for n in one.runs.values()]
    assert runs == [1], runs


@then('the first booking succeeds')
def check_first(context):
    assert context.answers[0].status == 200, context.answers[0].data


@then('the second is refused with the verdict "{verdict}"')
def check_second(context, verdict):
    assert context.answers[1].headers['X-Verdict'] == verdict


@then('the plain services ran one booking')
def check_bookings(context):
    runs = [n for one in context.deployment.plains for n in one.runs.values()]
    assert runs == [1], runs
