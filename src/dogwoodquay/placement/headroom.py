"""Finds memory for a load: free memory, evictions and relocations."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from . import desired
    from . import draft as drafts
    from . import state

__all__ = [
    'Relocation',
    'best_server',
    'find_relocation',
    'select_evictions',
    'start_relocation',
]

_SAME_FAILURE_DOMAIN_PENALTY: typing.Final = 0.5
_OLD_VERSION_PENALTY: typing.Final = 10.0
_FULLNESS_WEIGHT: typing.Final = 0.5


class Relocation(typing.NamedTuple):
    """Loads that allow a model and its adapters to leave a server.

    ``loads`` are the next artifacts to load on ``target``. ``moves`` counts
    all remaining loads and unloads of the relocation.
    """

    target: state.ServerPlan
    loads: list[str]
    moves: int


def best_server(
    draft: drafts.Draft, item: desired.Artifact
) -> state.ServerPlan | None:
    """Return the best server with free memory for another replica.

    Lightly loaded and empty servers are preferred, in failure domains
    without a replica and without the version that this one replaces.
    """
    candidates = [
        server
        for server in draft.pool.staying
        if server.free_bytes >= item.memory_bytes
        and not server.may_contain(item.artifact)
        and draft.has_base(server, item.artifact)
    ]
    if not candidates:
        return None
    used_domains = {
        s.failure_domain for s in draft.pool.replicas(item.artifact)
    }
    predecessor = draft.pool.predecessor(item.artifact)

    def rank(server: state.ServerPlan) -> tuple[float, str]:
        capacity = max(1, server.contents.capacity_bytes)
        score = server.load + _FULLNESS_WEIGHT * (
            1 - server.free_bytes / capacity
        )
        if server.failure_domain in used_domains:
            score += _SAME_FAILURE_DOMAIN_PENALTY
        if predecessor and server.may_contain(predecessor):
            score += _OLD_VERSION_PENALTY
        return (score, server.server_id)

    return min(candidates, key=rank)


def select_evictions(
    draft: drafts.Draft, server: state.ServerPlan, memory: int
) -> list[str] | None:
    """Return spare replicas whose unload frees enough memory.

    The replicas with the least demand are chosen first.

    :return: an empty list if the free memory and pending unloads suffice;
        ``None`` if evicting all spare replicas would not.
    """
    missing = memory - server.free_bytes - draft.pending_free_bytes(server)
    if missing <= 0:
        return []
    needs = draft.pool.needs
    draft.count_evaluations(len(server.ready))
    groups = [draft.spare_group(server, name) for name in server.ready]
    groups = [group for group in groups if group]
    groups.sort(key=lambda group: (_total_need(group, needs), group[-1]))
    chosen: list[str] = []
    for group in groups:
        added = [name for name in group if name not in chosen]
        chosen += added
        missing -= sum(server.contents.possible[name] for name in added)
        if missing <= 0:
            return chosen
    return None


def _total_need(group: list[str], needs: dict[str, float]) -> float:
    return sum(needs.get(name, 0.0) for name in group)


def find_relocation(
    draft: drafts.Draft, server: state.ServerPlan, memory: int
) -> Relocation | None:
    """Return the relocation that frees enough memory in the fewest moves.

    A relocation that has already begun needs fewer moves, so it is
    continued.
    """
    missing = memory - server.free_bytes - draft.pending_free_bytes(server)
    draft.count_evaluations(len(server.ready))
    best: tuple[int, float, str] | None = None
    chosen: Relocation | None = None
    for name in server.ready:
        group = _relocatable_group(draft, server, name)
        size = sum(server.contents.possible[item] for item in group)
        if not group or size < missing:
            continue
        found = _plan_relocation(draft, server, group, size)
        if found is None:
            continue
        rank = (found.moves, draft.pool.needs[name], name)
        if best is None or rank < best:
            best, chosen = rank, found
    return chosen


def start_relocation(draft: drafts.Draft, found: Relocation) -> None:
    """Add the next loads of a relocation that fit to the plan."""
    for name in found.loads:
        memory = draft.pool.artifacts[name].memory_bytes
        if found.target.may_contain(name) or found.target.free_bytes < memory:
            continue
        if draft.load_budget > 0:
            draft.load(found.target, name, 'relocate')


def _relocatable_group(
    draft: drafts.Draft, server: state.ServerPlan, name: str
) -> list[str]:
    """Return a model and its adapters on a server, if they can move."""
    item = draft.pool.artifacts.get(name)
    if item is None or item.base or item.successor or draft.is_frozen(name):
        return []
    adapters = draft.dependent_adapters(server, name)
    if any(adapter not in server.ready for adapter in adapters):
        return []
    return [name, *adapters]


def _plan_relocation(
    draft: drafts.Draft,
    server: state.ServerPlan,
    group: list[str],
    size: int,
) -> Relocation | None:
    """Return the next loads of a group: first the model, then adapters."""
    pool = draft.pool
    model = group[0]
    others = [s for s in pool.replicas(model) if s is not server]
    if not others:
        target = _find_target(draft, server, model, size)
        if target is None:
            return None
        return Relocation(target, [model], 2 * len(group))
    target = others[0]
    missing_adapters = [
        name
        for name in group[1:]
        if all(s is server for s in pool.replicas(name))
    ]
    moves = len(group) + len(missing_adapters)
    if model not in target.ready:
        return Relocation(target, [], moves)
    return Relocation(target, missing_adapters, moves)


def _find_target(
    draft: drafts.Draft, server: state.ServerPlan, model: str, size: int
) -> state.ServerPlan | None:
    """Return the best other server with free memory for a whole group."""
    draft.count_evaluations(len(draft.pool.staying))
    item = draft.pool.artifacts[model]
    target = best_server(draft, item._replace(memory_bytes=size))
    return None if target is server else target
