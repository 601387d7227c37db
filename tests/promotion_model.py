"""Model of a database group during promotions, as a hypothesis state machine.

The endpoints follow the platform's contract. Decisions call the functions of
the package, which a mutation may replace. Sent messages are stored and may be
delivered in any order, late, more than once, or never.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.record import Sighting, Vote
from trefoilhitch.position import ORIGIN, at_least, majority_position
from trefoilhitch.promotion import Choice, choose_primary, next_term

MEMBERS = 3
ENDPOINTS = st.integers(0, MEMBERS - 1)
CLAIMANTS = st.integers(0, 1)
REQUESTS = st.integers(0, 7)
RACE = tuple((claimant, each) for claimant in (0, 1) for each in range(MEMBERS))
ANY = st.integers(0, 10_000)
Entry: TypeAlias = tuple[int, int | None]
Log: TypeAlias = tuple[Entry, ...]


@dataclass(frozen=True)
class Rules:
    """The rules that a mutation may break."""

    choose: Callable[..., Choice] = choose_primary
    confirmed: Callable[..., int | None] = majority_position
    covers: Callable[[LogPosition, LogPosition], bool] = at_least
    one_claimant: bool = True
    refuses_older_terms: bool = True
    records_outcomes: bool = True
    looks_up_first: bool = True
    chooses_once: bool = True


@dataclass
class Endpoint:
    """State of one endpoint; all but the primary role survives restarts."""

    term: int = 0
    claimant: int = -1
    role: str = 'replica'
    log: Log = ()
    held: dict[int, int] = field(default_factory=dict)

    def end(self, length: int | None = None) -> LogPosition:
        """Return the position of the end of the log, or of a prefix."""
        size = len(self.log) if length is None else length
        term = self.log[size - 1][0] if size else 0
        return LogPosition(term=term, position=size)


@dataclass(frozen=True)
class Replication:
    """A message with log entries from a primary to a replica."""

    term: int
    sender: int
    target: int
    previous: LogPosition
    entries: Log


@dataclass
class Claim:
    """A promotion in progress; its primary is chosen only once."""

    term: int = 0
    attempt: int = 0
    primary: int | None = None
    votes: dict[int, Vote] = field(default_factory=dict)


class PromotionModel(RuleBasedStateMachine):
    """State machine of endpoints, claimants, writers and readers."""

    contract = Rules()

    def __init__(self) -> None:
        """Start with endpoints in term 0 and no primary."""
        super().__init__()
        self.endpoints = [Endpoint() for _ in range(MEMBERS)]
        self.claims = [Claim(), Claim()]
        self.sent: list[Replication] = []
        self.attempts = 0
        self.promoted: dict[int, int] = {}
        self.acknowledged: dict[int, LogPosition] = {}
        self.unknown: set[int] = set()
        self.not_run: set[int] = set()
        self.session_position = ORIGIN

    @rule(claimant=CLAIMANTS)
    def claim(self, claimant: int) -> None:
        """Begin a promotion in a term later than any reported."""
        sightings = [
            Sighting(
                name=str(number),
                role='replica',
                term=each.term,
                last_term=0,
                last_position=0,
                reachable=True,
                silent_ms=0,
            )
            for number, each in enumerate(self.endpoints)
        ]
        self.attempts += 1
        self.claims[claimant] = Claim(next_term(sightings), self.attempts)

    @rule(claimant=CLAIMANTS, member=ENDPOINTS)
    def fence(self, claimant: int, member: int) -> None:
        """Deliver a fence request, for the first time or again."""
        claimed = self.claims[claimant]
        endpoint = self.endpoints[member]
        same = claimed.term == endpoint.term and endpoint.role == 'fenced'
        if self.contract.one_claimant:
            same = same and endpoint.claimant == claimed.attempt
        later = claimed.term > endpoint.term
        accepted = bool(claimed.term) and (later or same)
        if accepted:
            endpoint.term = claimed.term
            endpoint.claimant = claimed.attempt
            endpoint.role = 'fenced'
        end = endpoint.end()
        claimed.votes[member] = Vote(
            name=str(member),
            accepted=accepted,
            term=endpoint.term,
            last_term=end.term,
            last_position=end.position,
        )

    @rule(claimant=CLAIMANTS)
    def promote(self, claimant: int) -> None:
        """Finish a promotion, possibly long after the fence."""
        claimed = self.claims[claimant]
        number = self._chosen(claimed)
        if number is None:
            return
        endpoint = self.endpoints[number]
        is_claimant = endpoint.claimant == claimed.attempt
        if not is_claimant or endpoint.role != 'fenced':
            return
        if endpoint.term != claimed.term:
            return
        assert self.promoted.setdefault(claimed.term, number) == number
        endpoint.role = 'primary'
        endpoint.held = {}
        endpoint.log += ((endpoint.term, None),)

    @rule(claimant=CLAIMANTS, absent=ENDPOINTS)
    def elect(self, claimant: int, absent: int) -> None:
        """Run a whole promotion without one endpoint."""
        self.claim(claimant)
        for member in range(MEMBERS):
            if member != absent:
                self.fence(claimant, member)
        self.promote(claimant)

    @rule(number=ENDPOINTS, request=REQUESTS)
    def send(self, number: int, request: int) -> None:
        """Send a request that is not repeatable, and lose its response."""
        if request in self.unknown and self.contract.looks_up_first:
            return
        if request in self.acknowledged or request in self.not_run:
            return
        self._execute(number, request)

    @rule(number=ENDPOINTS, request=REQUESTS)
    def settle(self, number: int, request: int) -> None:
        """Look up an outcome in a confirmed term; retry if it is absent."""
        endpoint = self.endpoints[number]
        if request not in self.unknown or not self._is_current(number):
            return
        if not any(logged == request for _, logged in endpoint.log):
            self._execute(number, request)

    @rule(number=ENDPOINTS, request=REQUESTS)
    def refuse(self, number: int, request: int) -> None:
        """Refuse the first copy of a request at a non-primary endpoint."""
        is_first = (
            request not in self.unknown and request not in self.acknowledged
        )
        if self.endpoints[number].role != 'primary' and is_first:
            self.not_run.add(request)

    @rule(sender=ENDPOINTS, member=ENDPOINTS, start=ANY)
    def replicate(self, sender: int, member: int, start: int) -> None:
        """Send a part of a primary's log without delivering it."""
        endpoint = self.endpoints[sender]
        if endpoint.role != 'primary' or sender == member:
            return
        length = start % (len(endpoint.log) + 1)
        self.sent.append(
            Replication(
                endpoint.term,
                sender,
                member,
                endpoint.end(length),
                endpoint.log[length:],
            ),
        )

    @rule(sender=ENDPOINTS, member=ENDPOINTS)
    def synchronise(self, sender: int, member: int) -> None:
        """Send a whole log and deliver it at once."""
        before = len(self.sent)
        self.replicate(sender, member, 0)
        if len(self.sent) > before:
            self.deliver(before)

    @rule(number=ENDPOINTS, member=ENDPOINTS, request=REQUESTS)
    def write(self, number: int, member: int, request: int) -> None:
        """Run a write up to its acknowledgement."""
        self.send(number, request)
        self.synchronise(number, member)
        self.acknowledge(number)

    @rule(order=st.permutations(RACE))
    def race(self, order: list[tuple[int, int]]) -> None:
        """Claim one term for both claimants, with fences in any order."""
        self.claim(0)
        self.claim(1)
        for claimant, member in order:
            self.fence(claimant, member)
            self.promote(claimant)

    @rule(which=ANY)
    def deliver(self, which: int) -> None:
        """Deliver a message, possibly late, out of order or again."""
        if not self.sent:
            return
        message = self.sent[which % len(self.sent)]
        target = self.endpoints[message.target]
        if message.term < target.term and self.contract.refuses_older_terms:
            return
        target.term = max(target.term, message.term)
        target.role = 'replica'
        length = message.previous.position
        if length > len(target.log) or target.end(length) != message.previous:
            return
        target.log = _extended(target.log, length, message.entries)
        sender = self.endpoints[message.sender]
        if sender.role == 'primary' and sender.term == message.term:
            held = length + len(message.entries)
            sender.held[message.target] = max(
                held,
                sender.held.get(message.target, 0),
            )

    @rule(number=ENDPOINTS)
    def acknowledge(self, number: int) -> None:
        """Acknowledge what a majority holds in the primary's term."""
        endpoint = self.endpoints[number]
        if endpoint.role != 'primary':
            return
        held = [len(endpoint.log), *endpoint.held.values()]
        reached = self.contract.confirmed(MEMBERS, held)
        if not reached or endpoint.end(reached).term != endpoint.term:
            return
        for index, (_, request) in enumerate(endpoint.log[:reached], start=1):
            if request in self.unknown:
                self._record_acknowledgement(request, endpoint.term, index)

    @rule(number=ENDPOINTS)
    def read(self, number: int) -> None:
        """Read in the session that wrote, if the position is late enough."""
        endpoint = self.endpoints[number]
        if not self.contract.covers(endpoint.end(), self.session_position):
            return
        logged = {request for _, request in endpoint.log}
        assert set(self.acknowledged) <= logged, (
            'a session missed its own write'
        )

    @rule(number=ENDPOINTS)
    def restart(self, number: int) -> None:
        """Restart an endpoint; a primary becomes a replica."""
        endpoint = self.endpoints[number]
        if endpoint.role == 'primary':
            self.endpoints[number] = replace(endpoint, role='replica', held={})

    @invariant()
    def acknowledged_writes_are_in_every_later_primary(self) -> None:
        """Check the log of each primary of the same term or a later one."""
        for endpoint in self.endpoints:
            if endpoint.role != 'primary':
                continue
            logged = {request for _, request in endpoint.log}
            for request, position in self.acknowledged.items():
                if endpoint.term >= position.term:
                    assert request in logged, 'an acknowledged write is lost'

    @invariant()
    def no_request_ran_twice(self) -> None:
        """Check each log for repeated requests."""
        for endpoint in self.endpoints:
            requests = [each for _, each in endpoint.log if each is not None]
            assert len(requests) == len(set(requests)), 'a request ran twice'

    @invariant()
    def what_was_refused_did_not_run(self) -> None:
        """Check each log for requests that were refused as not run."""
        for endpoint in self.endpoints:
            logged = {request for _, request in endpoint.log}
            assert not logged & self.not_run, (
                'a request that was refused as not run has run'
            )

    def _execute(self, number: int, request: int) -> None:
        endpoint = self.endpoints[number]
        if endpoint.role != 'primary':
            return
        recorded = any(logged == request for _, logged in endpoint.log)
        if not recorded or not self.contract.records_outcomes:
            endpoint.log += ((endpoint.term, request),)
        self.unknown.add(request)

    def _chosen(self, claimed: Claim) -> int | None:
        """Return the endpoint that a claim promotes; the choice is final."""
        if claimed.primary is not None and self.contract.chooses_once:
            return claimed.primary
        choice = self.contract.choose(
            list(claimed.votes.values()),
            term=claimed.term,
            members=MEMBERS,
        )
        claimed.primary = int(choice.primary) if choice.primary else None
        return claimed.primary

    def _record_acknowledgement(
        self, request: int, term: int, index: int
    ) -> None:
        position = LogPosition(term=term, position=index)
        self.unknown.discard(request)
        self.acknowledged[request] = position
        if at_least(position, self.session_position):
            self.session_position = position

    def _is_current(self, number: int) -> bool:
        """Return whether a majority has accepted no later term."""
        endpoint = self.endpoints[number]
        if endpoint.role != 'primary':
            return False
        agreeing = sum(each.term <= endpoint.term for each in self.endpoints)
        return agreeing > MEMBERS // 2


def _extended(log: Log, length: int, entries: Log) -> Log:
    """Return a log with entries appended; matching entries are kept."""
    for offset, entry in enumerate(entries):
        index = length + offset
        if index >= len(log) or log[index][0] != entry[0]:
            return log[:index] + entries[offset:]
    return log
