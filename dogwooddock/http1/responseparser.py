"""Parser of HTTP/1.1 responses, without I/O."""

__all__ = ["ResponseParser"]

import httptools

from .messageparser import MessageParser, callback_error
from .messages import HttpError, Response

MAX_INTERIM_RESPONSES = 16
MIN_STATUS = 100
MAX_STATUS = 599


class ResponseParser(MessageParser):
    """Parse the bytes of a connection into responses.

    Args:
        max_header_bytes: Largest header block, in bytes; also the most bytes in a row
            that complete neither a head nor any part of a body.
        max_body_bytes: Largest body, in bytes.

    ``bodiless`` tells that the next response has no body, whatever length it names, as
    for a HEAD request; its connection carries no other response.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        super().__init__(max_header_bytes, max_body_bytes)
        self._parser = httptools.HttpResponseParser(self)
        self._completed: list[Response] = []
        self._interim_responses = 0
        self.bodiless = False

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the part of an incomplete response that is held."""
        return self._framing_bytes + self.body_bytes if self.in_message else 0

    def feed(self, data: bytes) -> list[Response]:
        """Parse bytes and return the responses that they complete.

        Raises:
            HttpError: The response is malformed or exceeds a limit.
        """
        held_before = self.body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            error = callback_error(exc)
            cause = f": {error}" if error is not None else ""
            raise HttpError(502, f"the response cannot be read{cause}") from exc
        completed, self._completed = self._completed, []
        progressed = bool(completed) or self.body_bytes != held_before
        if self._count_framing(len(data), progressed):
            raise HttpError(502, "the response's head or framing does not end")
        return completed

    def feed_eof(self) -> Response | None:
        """Return the response that the end of the connection completes, or None."""
        fields = self._fields.by_name
        has_framing = b"content-length" in fields or b"transfer-encoding" in fields
        if not (self.in_message and self._in_body) or has_framing:
            return None
        self.in_message = False
        return self._build_response(keep_alive=False)

    def on_headers_complete(self) -> None:
        """Record that the body follows, or complete a response without one."""
        super().on_headers_complete()
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise HttpError(502, f"the status {status:03} is none of HTTP")
        if self.bodiless and self._parser.get_status_code() >= 200:
            self.in_message = False
            self._completed.append(self._build_response(keep_alive=False))

    def on_message_complete(self) -> None:
        """Build the completed response; interim (1xx) responses are dropped."""
        self.in_message = False
        status = self._parser.get_status_code()
        if self.bodiless and status >= 200:
            return  # It was complete with its head.
        if status >= 200:
            self._interim_responses = 0
            self._completed.append(
                self._build_response(self._parser.should_keep_alive())
            )
            return
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise HttpError(502, "the interim responses do not end")

    def _build_response(self, keep_alive: bool) -> Response:
        return Response(
            self._parser.get_status_code(),
            self._fields.pairs,
            self._fields.by_name,
            self._body.take(),
            keep_alive,
        )
