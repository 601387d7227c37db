"""Emulated VM list of the platform, which lags behind."""

from collections import deque

from msgspec.json import encode
from trio import current_time

from trefoilhitch._generated.store import ListedVm, VmList
from trefoilhitch.http_message import HttpRequest, HttpResponse


class VmListApi:
    """Serves the VM list as it was some time ago.

    Args:
        lag_s: time until a published list becomes visible, in seconds.

    """

    def __init__(self, *, lag_s: float = 0) -> None:
        """Start with an empty list."""
        self._lag_s = lag_s
        self._visible = VmList(vms=[])
        self._pending: deque[tuple[float, VmList]] = deque()

    def publish(self, vms: list[ListedVm]) -> None:
        """Publish a new list, which becomes visible after the lag.

        Args:
            vms: the complete new list.

        """
        visible_at = current_time() + self._lag_s
        self._pending.append((visible_at, VmList(vms=vms)))

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Respond to a request with the visible list.

        Args:
            req: the complete request.

        Returns:
            The newest list that was published at least the lag ago.

        """
        now = current_time()
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.popleft()[1]
        return HttpResponse(body=encode(self._visible))
