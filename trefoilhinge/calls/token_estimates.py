"""Learns how many bytes of a prompt make one token, for each service."""

from attrs import define, field

FIRST_BYTES_PER_TOKEN = 4.0
MINIMUM_BYTES_PER_TOKEN = 1.0
MAXIMUM_BYTES_PER_TOKEN = 8.0
MINIMUM_TOKENS = 64
LEARNING_RATE = 0.05
MAXIMUM_SERVICES = 1024


@define
class TokenRatios:
    """Bytes per token by service, from the counts that engines report.

    The bounds keep one engine that counts wrongly from moving limits and
    charges by more than a known factor.
    """

    _ratios: dict[str, float] = field(factory=dict)

    def find(self, service: str) -> float:
        """Return the bytes per token of a service."""
        return self._ratios.get(service, FIRST_BYTES_PER_TOKEN)

    def learn(self, service: str, prompt_bytes: int, tokens: int) -> None:
        """Take an engine's count of one prompt.

        :param tokens: prompt tokens that the engine counted; few are
            ignored, as a template's own tokens would weigh too much.
        """
        if tokens < MINIMUM_TOKENS or not prompt_bytes:
            return
        if service not in self._ratios and (
            len(self._ratios) >= MAXIMUM_SERVICES
        ):
            return
        seen = _bound(prompt_bytes / tokens)
        ratio = self.find(service)
        self._ratios[service] = ratio + LEARNING_RATE * (seen - ratio)


def _bound(ratio: float) -> float:
    return min(max(ratio, MINIMUM_BYTES_PER_TOKEN), MAXIMUM_BYTES_PER_TOKEN)
