"""Computes planned shares by linear programming with HiGHS; if there are none, names the conflicting constraints.

The objectives are lexicographic: least worth shed, then least cost, then least utilization of the most utilized server.
A last objective with fixed, different weights breaks ties, so that the plan does not alternate between equal optima.
Rates are in calls per second. HiGHS is installed with `leadslip[plan]` only; a proxy reads plans and never solves them.
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

TOLERANCE = 1e-7  # relative slack on the optima of earlier objectives while a later one is optimized
GOLDEN_RATIO = (
    math.sqrt(5.0) - 1.0
) / 2.0  # its multiples modulo 1 are the spread-out weights of the tie-break objective


class InfeasibleError(OperatorError):
    """No share plan meets all constraints; `conflict` names constraints that can't all be met together."""

    code, status = "shares.no-plan", 409
    action = "Relax any one of the constraints named; one is enough."

    def __init__(self, conflict: Sequence[str]) -> None:
        super().__init__("constraints in conflict: " + "; ".join(conflict))
        self.conflict = tuple(conflict)


class OutOfTimeError(OperatorError):
    """The time limit passed before a share plan was found; the last good plan should stay in use."""

    code, status = "shares.out-of-time", 503
    action = "Allow more seconds, or fewer servers per district."


@dataclass(frozen=True, slots=True)
class Plan:
    """The solution: shares and rates of each district on each server."""

    shares: dict[str, dict[str, float]]  # district -> server -> part of the district's calls
    rates: dict[str, dict[str, float]]  # district -> server -> calls per second
    shed: dict[str, dict[str, float]]  # district -> class -> calls per second that are shed
    use: dict[str, float]  # server -> utilization of its capacity
    worth_shed: float  # per second
    cost: float  # per second
    seconds: float  # time taken to solve


class _Model:
    """A linear program: columns (variables from 0 up) and named rows (constraints), as HiGHS takes them."""

    def __init__(self) -> None:
        self.lower: list[float] = []
        self.upper: list[float] = []
        # name, lower bound, upper bound, columns, coefficients
        self.rows: list[tuple[str, float, float, list[int], list[float]]] = []

    def add_column(self, upper: float = math.inf) -> int:
        """Adds a variable between 0 and an upper bound; returns its index."""
        self.lower.append(0.0)
        self.upper.append(upper)
        return len(self.lower) - 1

    def add_row(self, name: str, low: float, high: float, columns: list[int], values: list[float]) -> None:
        """Adds a constraint. Rows of the same name are left out together; those with an empty name never are."""
        self.rows.append((name, low, high, columns, values))

    def new_solver(self, excluded: set[str], seconds: float) -> highspy.Highs:
        """Returns a solver with a time limit for this program, without the rows of the excluded names."""
        rows = [row for row in self.rows if row[0] not in excluded]
        lp = highspy.HighsLp()
        lp.num_col_, lp.num_row_ = len(self.lower), len(rows)
        lp.col_cost_ = np.zeros(len(self.lower))
        lp.col_lower_, lp.col_upper_ = np.array(self.lower), np.array(self.upper)
        lp.row_lower_ = np.array([row[1] for row in rows])
        lp.row_upper_ = np.array([row[2] for row in rows])
        lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
        lp.a_matrix_.num_col_, lp.a_matrix_.num_row_ = len(self.lower), len(rows)
        lp.a_matrix_.start_ = np.cumsum([0] + [len(row[3]) for row in rows])
        lp.a_matrix_.index_ = np.array([column for row in rows for column in row[3]], dtype=np.int32)
        lp.a_matrix_.value_ = np.array([value for row in rows for value in row[4]], dtype=float)
        solver = highspy.Highs()
        solver.setOptionValue("output_flag", False)
        solver.setOptionValue("threads", 1)
        solver.setOptionValue("random_seed", 0)
        solver.setOptionValue("time_limit", max(0.01, seconds))
        solver.passModel(lp)
        return solver


class _ShareModel:
    """The linear program of a problem, and the columns of its rates: assigned to servers, and shed."""

    def __init__(self, problem: Problem) -> None:
        self.problem, self.model = problem, _Model()
        model = self.model
        running = {server.name: server for server in problem.servers if server.limit > 0.0}
        self.assigned: dict[tuple[str, str], int] = {}  # district, server -> column
        self.shed: dict[tuple[str, str], int] = {}  # district, class -> column
        for district in problem.districts:
            for name in district.servers:
                if name in running:
                    self.assigned[district.name, name] = model.add_column()
            for call_class, rate in district.demand.items():
                self.shed[district.name, call_class] = model.add_column(rate if problem.shed else 0.0)
        self.peak_utilization = model.add_column()  # not bounded here, as each capacity has its own row
        columns_by_server: dict[str, list[int]] = {name: [] for name in running}
        for (_, name), column in self.assigned.items():
            columns_by_server[name].append(column)
        all_columns = list(self.assigned.values())
        for district in problem.districts:
            own_columns = [self.assigned[district.name, name] for name in district.servers if name in running]
            shed_columns = [self.shed[district.name, call_class] for call_class in district.demand]
            total = sum(district.demand.values())
            constraint = f"district {district.name}: demand of {total:g} calls/s must be met"
            model.add_row(
                constraint,
                total,
                total,
                own_columns + shed_columns,
                [1.0] * (len(own_columns) + len(shed_columns)),
            )
            for bounds, low, high, relation in (
                (district.min_shares, 0.0, math.inf, "at least"),
                (district.max_shares, -math.inf, 0.0, "at most"),
            ):
                for name, share in bounds.items():
                    constraint = (
                        f"district {district.name}: {relation} {share:g} of its calls to server {name}"
                    )
                    values = [
                        (column == self.assigned.get((district.name, name))) - share for column in own_columns
                    ]
                    model.add_row(constraint, low, high, own_columns, [float(value) for value in values])
        for server in problem.servers:
            name, own_columns = server.name, columns_by_server.get(server.name, [])
            if own_columns:
                constraint = f"server {name}: at most {server.limit:g} calls/s"
                model.add_row(constraint, -math.inf, server.limit, own_columns, [1.0] * len(own_columns))
                model.add_row(
                    "",
                    -math.inf,
                    0.0,
                    [*own_columns, self.peak_utilization],
                    [1.0] * len(own_columns) + [-server.capacity],
                )
            server_columns = set(own_columns)
            if server.min_share:
                constraint = f"server {name}: at least {server.min_share:g} of all calls"
                model.add_row(
                    constraint,
                    0.0,
                    math.inf,
                    all_columns,
                    [(index in server_columns) - server.min_share for index in all_columns],
                )
            if server.max_share < 1.0:
                constraint = f"server {name}: at most {server.max_share:g} of all calls"
                model.add_row(
                    constraint,
                    -math.inf,
                    0.0,
                    all_columns,
                    [(index in server_columns) - server.max_share for index in all_columns],
                )
        if problem.survive_one:
            for name in running:
                self._add_survival_rows(name, running, columns_by_server)

    def _add_survival_rows(
        self, lost_server: str, running: dict, columns_by_server: dict[str, list[int]]
    ) -> None:
        """Adds rows which require that the calls of one server fit on the others that their districts may use."""
        model, rerouted = self.model, {name: [] for name in running if name != lost_server}
        constraint = f"after the loss of server {lost_server} its calls must fit on the others"
        for district in self.problem.districts:
            if (district.name, lost_server) not in self.assigned:
                continue
            columns = []
            for name in district.servers:
                if name in rerouted:
                    columns.append(model.add_column())
                    rerouted[name].append(columns[-1])
            model.add_row(
                constraint,
                0.0,
                0.0,
                [*columns, self.assigned[district.name, lost_server]],
                [1.0] * len(columns) + [-1.0],
            )
        for name, rerouted_columns in rerouted.items():
            all_columns = columns_by_server[name] + rerouted_columns
            model.add_row(constraint, -math.inf, running[name].limit, all_columns, [1.0] * len(all_columns))


def solve(problem: Problem, seconds: float = 10.0) -> Plan:
    """Returns the plan of a problem; raises InfeasibleError if there is none, OutOfTimeError at the time limit."""
    started_s = time.perf_counter()
    running = {server.name for server in problem.servers if server.limit > 0.0}
    for district in problem.districts:
        if sum(district.demand.values()) > 0.0 and not running & set(district.servers):
            # An error even if calls may be shed: each district with demand needs a running server.
            raise InfeasibleError([f"district {district.name}: has demand", "none of its servers runs"])
    share_model = _ShareModel(problem)
    solver = share_model.model.new_solver(set(), seconds)
    worth = {call_class.name: call_class.worth for call_class in problem.classes}
    cost = {district.name: district.cost for district in problem.districts}
    objectives = (  # column -> weight, in order of priority
        {column: worth[call_class] for (_, call_class), column in share_model.shed.items()},
        {column: cost[district][name] for (district, name), column in share_model.assigned.items()},
        {share_model.peak_utilization: 1.0},
        {
            column: 1.0 + (i * GOLDEN_RATIO) % 1.0
            for i, column in enumerate([*share_model.assigned.values(), *share_model.shed.values()])
        },
    )
    count = len(share_model.model.lower)
    for objective in objectives:
        costs = np.zeros(count)
        costs[list(objective)] = list(objective.values())
        solver.changeColsCost(count, np.arange(count, dtype=np.int32), costs)
        solver.setOptionValue("time_limit", max(0.01, seconds - (time.perf_counter() - started_s)))
        solver.run()
        status = solver.getModelStatus()
        if status == highspy.HighsModelStatus.kInfeasible:
            raise InfeasibleError(find_conflict(share_model.model))
        if status != highspy.HighsModelStatus.kOptimal:
            raise OutOfTimeError(f"no plan within {seconds:g} s: {solver.modelStatusToString(status)}")
        optimum = solver.getInfo().objective_function_value
        values = np.array(solver.getSolution().col_value)
        columns = np.array(list(objective), dtype=np.int32)
        # Later objectives must keep this optimum.
        solver.addRow(
            -math.inf, optimum + TOLERANCE * max(1.0, abs(optimum)), len(objective), columns, costs[columns]
        )
    return _plan(share_model, values, time.perf_counter() - started_s)


def _plan(share_model: _ShareModel, values: np.ndarray, seconds: float) -> Plan:
    """Returns the plan that the values of the columns mean."""
    problem = share_model.problem
    rates: dict[str, dict[str, float]] = {district.name: {} for district in problem.districts}
    for (district, name), column in share_model.assigned.items():
        rates[district][name] = max(0.0, float(values[column]))
    shares = {}
    for district, district_rates in rates.items():
        total = sum(district_rates.values())
        shares[district] = (
            {name: rate / total for name, rate in district_rates.items() if rate > TOLERANCE} if total else {}
        )
    shed: dict[str, dict[str, float]] = {}
    for (district, call_class), column in share_model.shed.items():
        if values[column] > 10.0 * TOLERANCE:
            shed.setdefault(district, {})[call_class] = float(values[column])
    use = {
        server.name: sum(district_rates.get(server.name, 0.0) for district_rates in rates.values())
        / server.capacity
        for server in problem.servers
        if server.capacity
    }
    worth = {call_class.name: call_class.worth for call_class in problem.classes}
    costs = {district.name: district.cost for district in problem.districts}
    return Plan(
        shares,
        rates,
        shed,
        use,
        sum(
            worth[call_class] * rate
            for district_rates in shed.values()
            for call_class, rate in district_rates.items()
        ),
        sum(
            costs[district][name] * rate
            for district, district_rates in rates.items()
            for name, rate in district_rates.items()
        ),
        seconds,
    )


def find_conflict(model: _Model) -> list[str]:
    """Returns an irreducible infeasible set of constraints: if any one of them is removed, the rest can be met.

    A deletion filter: leaves out each constraint in turn, for good if the remaining ones are still infeasible.
    """
    names = list(dict.fromkeys(row[0] for row in model.rows if row[0]))
    excluded: set[str] = set()
    for name in names:
        if is_infeasible(model, excluded | {name}):
            excluded.add(name)
    return [name for name in names if name not in excluded]


def is_infeasible(model: _Model, excluded: set[str]) -> bool:
    """Returns whether the program without the rows of the excluded names is infeasible."""
    solver = model.new_solver(excluded, 10.0)
    solver.run()
    return solver.getModelStatus() == highspy.HighsModelStatus.kInfeasible
