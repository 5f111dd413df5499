"""The plan: shares worked out by linear programming, on HiGHS; or a refusal that names what is in conflict.

Lexicographic: the most worth served, then the least cost, then the least greatest use of a server, and of what is
still equal the least under fixed weights, so that the answer is unique and does not jump between equal optima. Rates
are in calls a second. Only `leadslip[plan]` has HiGHS; a proxy reads plans and never solves them.
"""

from __future__ import annotations

import math
import time
from collections.abc import Sequence
from dataclasses import dataclass

import highspy
import numpy as np

from leadslip.errors import OperatorError
from leadslip.shares.problem import Problem

SLACK = 1e-7  # by which an earlier goal may be missed while a later one is sought
GOLDEN = (math.sqrt(5.0) - 1.0) / 2.0  # spreads the weights of the last goal


class RefusedError(OperatorError):
    """There is no plan of shares; `conflict` names the constraints of which any one would have to go."""

    code, status = "shares.no-plan", 409
    action = "Loosen one of the constraints named; any one of them is enough."

    def __init__(self, conflict: Sequence[str]) -> None:
        super().__init__("no plan keeps all of: " + "; ".join(conflict))
        self.conflict = tuple(conflict)


class OutOfTimeError(OperatorError):
    """The time was over before there was a plan of shares: the last good one is to be kept."""

    code, status = "shares.out-of-time", 503
    action = "Allow more seconds, or fewer servers for each district."


@dataclass(frozen=True, slots=True)
class Plan:
    """What goes where."""

    shares: dict[str, dict[str, float]]  # district -> server -> part of the district's calls
    rates: dict[str, dict[str, float]]  # the same in calls a second
    shed: dict[str, dict[str, float]]  # district -> class -> calls a second that do not fit
    use: dict[str, float]  # server -> part of its capacity
    worth_shed: float
    cost: float
    seconds: float


class _Model:
    """Rows by name over columns, as HiGHS takes them."""

    def __init__(self) -> None:
        self.lower: list[float] = []
        self.upper: list[float] = []
        self.rows: list[tuple[str, float, float, list[int], list[float]]] = []

    def column(self, upper: float = math.inf) -> int:
        self.lower.append(0.0)
        self.upper.append(upper)
        return len(self.lower) - 1

    def row(self, name: str, low: float, high: float, columns: list[int], values: list[float]) -> None:
        """One constraint; those of one name stand or fall together."""
        self.rows.append((name, low, high, columns, values))

    def solver(self, left_out: set[str], seconds: float) -> highspy.Highs:
        rows = [row for row in self.rows if row[0] not in left_out]
        lp = highspy.HighsLp()
        lp.num_col_, lp.num_row_ = len(self.lower), len(rows)
        lp.col_cost_ = np.zeros(len(self.lower))
        lp.col_lower_, lp.col_upper_ = np.array(self.lower), np.array(self.upper)
        lp.row_lower_ = np.array([row[1] for row in rows])
        lp.row_upper_ = np.array([row[2] for row in rows])
        lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
        lp.a_matrix_.num_col_, lp.a_matrix_.num_row_ = len(self.lower), len(rows)
        lp.a_matrix_.start_ = np.cumsum([0] + [len(row[3]) for row in rows])
        lp.a_matrix_.index_ = np.array([at for row in rows for at in row[3]], dtype=np.int32)
        lp.a_matrix_.value_ = np.array([value for row in rows for value in row[4]], dtype=float)
        solver = highspy.Highs()
        solver.setOptionValue("output_flag", False)
        solver.setOptionValue("threads", 1)
        solver.setOptionValue("random_seed", 0)
        solver.setOptionValue("time_limit", max(0.01, seconds))
        solver.passModel(lp)
        return solver


class _Built:
    """The model of a problem, and what its columns mean."""

    def __init__(self, problem: Problem) -> None:
        self.problem, self.model = problem, _Model()
        model = self.model
        running = {server.name: server for server in problem.servers if server.limit > 0.0}
        self.at: dict[tuple[str, str], int] = {}  # district, server -> column
        self.shed: dict[tuple[str, str], int] = {}  # district, class -> column
        for district in problem.districts:
            for name in district.servers:
                if name in running:
                    self.at[district.name, name] = model.column()
            for kind, rate in district.demand.items():
                self.shed[district.name, kind] = model.column(rate if problem.shed else 0.0)
        self.peak = model.column()  # the greatest use; not bounded, as capacities have rows of their own
        of: dict[str, list[int]] = {name: [] for name in running}
        for (_, name), column in self.at.items():
            of[name].append(column)
        whole = list(self.at.values())
        for district in problem.districts:
            own = [self.at[district.name, name] for name in district.servers if name in running]
            lost = [self.shed[district.name, kind] for kind in district.demand]
            total = sum(district.demand.values())
            told = f"district {district.name}: its demand of {total:g} a second"
            model.row(told, total, total, own + lost, [1.0] * (len(own) + len(lost)))
            for bounds, low, high, word in (
                (district.least, 0.0, math.inf, "at least"),
                (district.greatest, -math.inf, 0.0, "at most"),
            ):
                for name, part in bounds.items():
                    told = f"district {district.name}: {word} {part:g} of it to {name}"
                    values = [(column == self.at.get((district.name, name))) - part for column in own]
                    model.row(told, low, high, own, [float(value) for value in values])
        for server in problem.servers:
            name, own = server.name, of.get(server.name, [])
            if own:
                told = f"server {name}: no more than {server.limit:g} a second"
                model.row(told, -math.inf, server.limit, own, [1.0] * len(own))
                model.row("", -math.inf, 0.0, [*own, self.peak], [1.0] * len(own) + [-server.capacity])
            mine = set(own)
            if server.least:
                told = f"server {name}: at least {server.least:g} of all calls"
                model.row(told, 0.0, math.inf, whole, [(at in mine) - server.least for at in whole])
            if server.greatest < 1.0:
                told = f"server {name}: at most {server.greatest:g} of all calls"
                model.row(told, -math.inf, 0.0, whole, [(at in mine) - server.greatest for at in whole])
        if problem.survive_one:
            for name in running:
                self._survive(name, running, of)

    def _survive(self, gone: str, running: dict, of: dict[str, list[int]]) -> None:
        """What one server carries must fit on the others that its districts may use, beside their own."""
        model, moved = self.model, {name: [] for name in running if name != gone}
        told = f"the loss of server {gone} is survived"
        for district in self.problem.districts:
            if (district.name, gone) not in self.at:
                continue
            own = []
            for name in district.servers:
                if name in moved:
                    own.append(model.column())
                    moved[name].append(own[-1])
            model.row(told, 0.0, 0.0, [*own, self.at[district.name, gone]], [1.0] * len(own) + [-1.0])
        for name, columns in moved.items():
            held = of[name] + columns
            model.row(told, -math.inf, running[name].limit, held, [1.0] * len(held))


def solve(problem: Problem, seconds: float = 10.0) -> Plan:
    """The plan of a problem; RefusedError where there is none, OutOfTimeError where it took too long."""
    began = time.perf_counter()
    alive = {server.name for server in problem.servers if server.limit > 0.0}
    for district in problem.districts:
        if sum(district.demand.values()) > 0.0 and not alive & set(district.servers):
            # Also where calls may be shed: a district that nobody serves is never a plan.
            raise RefusedError([f"district {district.name}: has demand", "none of its servers runs"])
    built = _Built(problem)
    solver = built.model.solver(set(), seconds)
    worth = {kind.name: kind.worth for kind in problem.classes}
    cost = {district.name: district.cost for district in problem.districts}
    goals = (
        {column: worth[kind] for (_, kind), column in built.shed.items()},
        {column: cost[district][name] for (district, name), column in built.at.items()},
        {built.peak: 1.0},
        {
            column: 1.0 + (i * GOLDEN) % 1.0
            for i, column in enumerate([*built.at.values(), *built.shed.values()])
        },
    )
    count = len(built.model.lower)
    for goal in goals:
        costs = np.zeros(count)
        costs[list(goal)] = list(goal.values())
        solver.changeColsCost(count, np.arange(count, dtype=np.int32), costs)
        solver.setOptionValue("time_limit", max(0.01, seconds - (time.perf_counter() - began)))
        solver.run()
        status = solver.getModelStatus()
        if status == highspy.HighsModelStatus.kInfeasible:
            raise RefusedError(conflict(built.model))
        if status != highspy.HighsModelStatus.kOptimal:
            raise OutOfTimeError(f"no plan within {seconds:g} s: {solver.modelStatusToString(status)}")
        best = solver.getInfo().objective_function_value
        found = np.array(solver.getSolution().col_value)
        columns = np.array(list(goal), dtype=np.int32)
        solver.addRow(-math.inf, best + SLACK * max(1.0, abs(best)), len(goal), columns, costs[columns])
    return _plan(built, found, time.perf_counter() - began)


def _plan(built: _Built, found: np.ndarray, seconds: float) -> Plan:
    problem = built.problem
    rates: dict[str, dict[str, float]] = {district.name: {} for district in problem.districts}
    for (district, name), column in built.at.items():
        rates[district][name] = max(0.0, float(found[column]))
    shares = {}
    for district, told in rates.items():
        total = sum(told.values())
        shares[district] = (
            {name: rate / total for name, rate in told.items() if rate > SLACK} if total else {}
        )
    shed: dict[str, dict[str, float]] = {}
    for (district, kind), column in built.shed.items():
        if found[column] > 10.0 * SLACK:
            shed.setdefault(district, {})[kind] = float(found[column])
    use = {
        server.name: sum(told.get(server.name, 0.0) for told in rates.values()) / server.capacity
        for server in problem.servers
        if server.capacity
    }
    worth = {kind.name: kind.worth for kind in problem.classes}
    costs = {district.name: district.cost for district in problem.districts}
    return Plan(
        shares,
        rates,
        shed,
        use,
        sum(worth[kind] * rate for told in shed.values() for kind, rate in told.items()),
        sum(costs[district][name] * rate for district, told in rates.items() for name, rate in told.items()),
        seconds,
    )


def conflict(model: _Model) -> list[str]:
    """An irreducible set of constraints in conflict: without any one of them the others can be met.

    By deletion: each constraint is left out in turn, and stays out if the rest still conflicts.
    """
    names = list(dict.fromkeys(row[0] for row in model.rows if row[0]))
    out: set[str] = set()
    for name in names:
        if infeasible(model, out | {name}):
            out.add(name)
    return [name for name in names if name not in out]


def infeasible(model: _Model, left_out: set[str]) -> bool:
    """Whether the constraints conflict, some left out."""
    solver = model.solver(left_out, 10.0)
    solver.run()
    return solver.getModelStatus() == highspy.HighsModelStatus.kInfeasible
