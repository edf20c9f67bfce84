"""Assignment of targets to the instances that reconcile them.

Uses rendezvous hashing.
"""

from collections.abc import Iterable

import numpy as np
import xxhash
from attrs import frozen

from trefoilhinge.core.identifiers import InstanceName, TargetName

_SHIFT = np.uint64(32)
# 2**64 divided by the golden ratio, as in Fibonacci hashing.
_FACTOR = np.uint64(0x9E3779B97F4A7C15)


@frozen
class TargetOwnership:
    """Owner of each target, in one view of the live instances.

    :ivar owners: name of the owning instance by target.
    """

    owners: dict[TargetName, InstanceName]

    def list_owned(self, name: InstanceName) -> frozenset[TargetName]:
        """Return the targets that an instance owns."""
        return frozenset(
            target for target, owner in self.owners.items() if owner == name
        )


def make_ownership(
    targets: Iterable[TargetName],
    instances: Iterable[InstanceName],
) -> TargetOwnership:
    """Assign each target to a live instance.

    An instance that joins or leaves moves only its own share of the targets.

    :param instances: names of the live instances, at least one.
    """
    names = sorted(instances)
    target_names = tuple(targets)
    target_hashes = _hash_all(target_names)
    best = np.zeros(len(target_names), dtype=np.uint64)
    chosen = np.zeros(len(target_names), dtype=np.int64)
    for instance_index, instance_hash in enumerate(_hash_all(names)):
        scores = _mix(target_hashes ^ instance_hash)
        better = scores > best
        best[better] = scores[better]
        chosen[better] = instance_index
    return TargetOwnership(
        {
            target: names[instance_index]
            for target, instance_index in zip(target_names, chosen, strict=True)
        },
    )


def _hash_all(names: Iterable[str]) -> np.ndarray:
    return np.array(
        [xxhash.xxh64_intdigest(one.encode()) for one in names],
        dtype=np.uint64,
    )


def _mix(scores: np.ndarray) -> np.ndarray:
    mixed = (scores ^ (scores >> _SHIFT)) * _FACTOR
    mixed = (mixed ^ (mixed >> _SHIFT)) * _FACTOR
    return mixed ^ (mixed >> _SHIFT)
