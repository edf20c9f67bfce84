"""Minimal browser without scripts that reads a form and posts it back."""

import html.parser
import http.client
import urllib.parse


class FormParser(html.parser.HTMLParser):
    """Parser that collects controls, labels, buttons and texts of a page."""

    def __init__(self):
        super().__init__()
        self.values = {}
        self.buttons = []
        self.action = ''
        self.text = []
        self.labels = set()
        self.identifiers = []
        self.described = set()
        self.invalid = set()
        self.links = set()
        self._select = None
        self._text_area = None
        self._tags = []

    def handle_starttag(self, tag, pairs):
        attributes = dict(pairs)
        self._tags.append(tag)
        name = attributes.get('name')
        if 'id' in attributes:
            self.identifiers.append(attributes['id'])
        self.described.update(attributes.get('aria-describedby', '').split())
        if attributes.get('aria-invalid'):
            self.invalid.add(name)
        if tag == 'a' and attributes['href'].startswith('#f-'):
            self.links.add(attributes['href'][1:])
        if tag == 'form':
            self.action = attributes['action']
        elif tag == 'label':
            self.labels.add(attributes['for'])
        elif tag == 'input':
            self.values[name] = attributes.get('value', '')
        elif tag == 'button':
            self.buttons.append((name, attributes.get('value')))
        elif tag == 'select':
            self._select = name
        elif tag == 'datalist':
            self._select = None
        elif tag == 'option' and self._select is not None:
            selected = 'selected' in attributes
            if selected or self._select not in self.values:
                self.values[self._select] = attributes['value']
        elif tag == 'textarea':
            self._text_area = name
            self.values[name] = ''

    def handle_endtag(self, tag):
        if tag == 'textarea':
            # Browsers drop a newline at the start of a text area.
            text = self.values[self._text_area]
            self.values[self._text_area] = text.removeprefix('\n')
            self._text_area = None

    def handle_data(self, data):
        if self._text_area is not None:
            self.values[self._text_area] += data
        self.text.append(data)


class Browser:
    """Browser that opens pages of a console and presses their buttons."""

    def __init__(self, address):
        self.address = address
        self.page = None
        self.status = 0
        self.headers = {}
        self.body = b''

    def open(self, path='/', **headers):
        self._send('GET', path, None, headers)
        return self

    def post(self, path, values, **headers):
        body = urllib.parse.urlencode(values).encode()
        headers = {
            'Content-Type': 'application/x-www-form-urlencoded',
            'Origin': f'http://{self.address}',
            'Sec-Fetch-Site': 'same-origin',
            **headers,
        }
        self._send('POST', path, body, headers)
        return self

    def press(self, name, value, **changes):
        """Change fields and press a button of the page."""
        assert (name, value) in self.page.buttons, self.page.buttons
        unknown = set(changes) - set(self.page.values)
        assert not unknown, unknown
        values = {**self.page.values, **changes, name: value}
        values.pop('file', None)
        return self.post(self.page.action, values)

    def _send(self, method, path, body, headers):
        connection = http.client.HTTPConnection(self.address, timeout=10)
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        self.status = response.status
        self.headers = dict(response.getheaders())
        self.body = response.read()
        connection.close()
        if 'html' in self.headers.get('Content-Type', ''):
            self.page = FormParser()
            self.page.feed(self.body.decode())
            self.page.close()

    @property
    def visible_text(self):
        return ' '.join(' '.join(self.page.text).split())
