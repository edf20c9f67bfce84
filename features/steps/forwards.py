import json

from behave import then, when

from features.steps.processes import POOL


def send(context, number, path, fields, **headers):
    return POOL.request(
        'POST',
        f'{context.processes[number].url}{path}',
        body=json.dumps(fields).encode(),
        headers={
            'Authorization': f'Bearer {context.deployment.key}',
            'Content-Type': 'application/json',
            **headers,
        },
    )


@when('a caller requests an idempotency key from process {number:d}')
def take_key(context, number):
    answer = send(context, number, '/v1/idempotency-keys', {})
    assert answer.status == 200, answer.data
    context.key = answer.json()['key']
    context.responses = []


@when('it books with that key at process {number:d}')
def book(context, number):
    headers = {'Idempotency-Key': context.key, 'X-Time-Limit-S': '5'}
    path = '/services/desk/bookings'
    context.responses.append(
        send(context, number, path, {'seats': 2}, **headers),
    )


@when('it streams with that key at process {number:d}')
def stream(context, number):
    fields = {
        'model': 'writer',
        'prompt': 'tea',
        'stream': True,
        'max_tokens': 5,
    }
    headers = {'Idempotency-Key': context.key, 'X-Repeatable': 'no'}
    context.responses.append(
        send(context, number, '/v1/completions', fields, **headers),
    )


@then('the booking {number:d} has the status {status:d}')
def check_status(context, number, status):
    answer = context.responses[number]
    assert answer.status == status, (answer.status, answer.data)


@then('the booking {number:d} has the verdict "{verdict}"')
def check_verdict(context, number, verdict):
    answer = context.responses[number]
    assert answer.json()['error']['verdict'] == verdict, answer.data


@then('the answer {number:d} is a complete stream')
def check_stream(context, number):
    answer = context.responses[number]
    assert answer.status == 200, answer.data
    assert answer.headers['Content-Type'].startswith('text/event-stream')
    assert answer.data.endswith(b'data: [DONE]\n\n'), answer.data


@then('{count:d} booking ran')
def check_ran(context, count):
    runs = [n for one in context.deployment.plains for n in one.runs.values()]
    assert runs == [1] * count, runs
