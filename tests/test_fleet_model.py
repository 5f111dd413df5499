"""Model check of the membership view, and faulty variants of the view that it has to detect."""

import pytest

from leadslip.drill.faulty import IgnoresOwnDeath, RevivingTable
from leadslip.fleet.view.view import View
from leadslip.lab.model import Model, ViolationError


def test_all_interleavings_to_a_depth_keep_the_invariants():
    states, depth = Model().explore(depth=4, most_states=6000)
    assert states > 1000 and depth >= 3


class RefutesWithoutIncarnation(View):
    """Refutes a suspicion without increasing its incarnation."""

    def _handle_own_update(self, now_ms, run, state, incarnation):
        return run == self.run and state < 2 or super()._handle_own_update(now_ms, run, state, incarnation)


class AcceptsLateRefutation(View):
    """Accepts a refutation that arrives after the death."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.table.__class__ = RevivingTable


@pytest.mark.parametrize(
    ("view_class", "invariant"),
    [
        (IgnoresOwnDeath, "convergence"),
        (AcceptsLateRefutation, "V3"),
        (RefutesWithoutIncarnation, "convergence"),
    ],
)
def test_a_fault_in_the_refutation_is_detected(view_class, invariant):
    with pytest.raises(ViolationError, match=invariant):
        Model(view_class).explore(depth=8, most_states=200_000)
