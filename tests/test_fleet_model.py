"""The model check of the view, and faults put into it that it finds."""

import pytest

from leadslip.drill.broken import Deaf, ForgivingTable
from leadslip.fleet.view.view import View
from leadslip.lab.model import BrokenError, Model


def test_all_interleavings_to_a_depth_keep_the_invariants():
    states, depth = Model().explore(depth=4, most_states=6000)
    assert states > 1000 and depth >= 3


class Same(View):
    """Refutes a suspicion without a later incarnation."""

    def _of_self(self, now_ms, run, state, incarnation):
        return run == self.run and state < 2 or super()._of_self(now_ms, run, state, incarnation)


class Taking(View):
    """Takes a refutation that comes after the death."""

    def __init__(self, *told):
        super().__init__(*told)
        self.table.__class__ = ForgivingTable


@pytest.mark.parametrize(
    ("kind", "invariant"), [(Deaf, "convergence"), (Taking, "V3"), (Same, "convergence")]
)
def test_a_fault_in_the_refutation_is_found(kind, invariant):
    with pytest.raises(BrokenError, match=invariant):
        Model(kind).explore(depth=8, most_states=200_000)
