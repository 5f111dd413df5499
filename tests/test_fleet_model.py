"""Model check of the membership view: the view passes, and each faulty variant of it is detected."""

import pytest

from leadslip.drill.faulty import IgnoresOwnDeath, RevivingTable
from leadslip.fleet.view.view import View
from leadslip.lab.model import Model, ViolationError


def test_no_interleaving_up_to_a_depth_violates_an_invariant():
    states, depth = Model().explore(depth=4, most_states=6000)
    assert states > 1000 and depth >= 3


class IgnoresSuspicion(View):
    """Ignores a suspicion of itself instead of refuting it with a higher incarnation."""

    def _handle_own_update(self, now_ms, run, state, incarnation):
        return run == self.run and state < 2 or super()._handle_own_update(now_ms, run, state, incarnation)


class AcceptsLateRefutation(View):
    """Holds a run as alive again when a refutation arrives after the run was declared dead."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.table.__class__ = RevivingTable


@pytest.mark.parametrize(
    ("view_class", "invariant"),
    [
        (IgnoresOwnDeath, "convergence"),
        (AcceptsLateRefutation, "V3"),
        (IgnoresSuspicion, "convergence"),
    ],
)
def test_faulty_refutation_is_detected(view_class, invariant):
    with pytest.raises(ViolationError, match=invariant):
        Model(view_class).explore(depth=8, most_states=200_000)
