from __future__ import annotations

from lavenderbend.coordination import fairness
from lavenderbend.coordination.admission import shares


class Item:
    def __init__(self, name):
        self.name = name


def test_customers_take_turns_by_weight():
    queue = fairness.FairQueue()
    for number in range(8):
        queue.push(Item(f'large-{number}'), 2, 1, 2.0)
    for number in range(4):
        queue.push(Item(f'small-{number}'), 2, 2, 1.0)

    first = [item.name.partition('-')[0] for item in queue][:6]

    assert first.count('large') == 4
    assert first.count('small') == 2


def test_lower_priority_value_is_dequeued_first():
    queue = fairness.FairQueue()
    queue.push(Item('normal'), 2, 1, 1.0)
    queue.push(Item('instant'), 0, 1, 1.0)

    assert [item.name for item in queue] == ['instant', 'normal']


def test_idle_customer_accumulates_no_turns():
    queue = fairness.FairQueue()
    busy = [Item(f'busy-{number}') for number in range(10)]
    for item in busy:
        queue.push(item, 2, 1, 1.0)
    for item in busy[:5]:
        queue.dequeue(item)
    late = [Item(f'late-{number}') for number in range(3)]
    for item in late:
        queue.push(item, 2, 2, 1.0)

    names = [item.name for item in queue][:4]

    assert names.count('late-0') == 1
    assert sum(name.startswith('busy') for name in names) == 2


def test_swap_keeps_the_order_between_customers():
    queue = fairness.FairQueue()
    items = {name: Item(name) for name in ('a1', 'b1', 'a2')}
    queue.push(items['a1'], 2, 1, 1.0)
    queue.push(items['b1'], 2, 2, 1.0)
    queue.push(items['a2'], 2, 1, 1.0)

    queue.swap(items['a1'], items['a2'])
    queue.dequeue(items['a2'])

    assert [item.name for item in queue] == ['b1', 'a1']


def test_withdrawn_item_is_not_charged():
    # A customer whose items were withdrawn would be served after all others.
    queue = fairness.FairQueue()
    items = {name: Item(name) for name in ('a1', 'a2', 'a3', 'b1', 'b2', 'b3')}
    for name, item in items.items():
        queue.push(item, 2, 1 if name.startswith('a') else 2, 1.0)

    assert queue.withdraw(items['a1'])
    assert queue.withdraw(items['a3'])
    assert not queue.withdraw(items['a3'])
    queue.push(Item('a4'), 2, 1, 1.0)

    assert [item.name for item in queue] == ['a2', 'b1', 'b2', 'a4', 'b3']


def test_removed_items_leave_no_state():
    queue = fairness.FairQueue()
    items = [Item(str(number)) for number in range(50)]
    for number, item in enumerate(items):
        queue.push(item, 2, number % 7, 1.0)
    for item in items[::2]:
        queue.remove(item)
    for item in items[1::2]:
        queue.dequeue(item)

    assert len(queue) == 0
    assert not queue.positions
    assert not queue.item_at
    assert not queue.by_customer
    assert not queue.finish


def test_fair_level_meets_the_demand_of_small_customers():
    demands = [
        shares.Demand(1, 5, 1.0),
        shares.Demand(2, 10, 1.0),
        shares.Demand(3, 500, 1.0),
        shares.Demand(4, 500, 2.0),
    ]

    level = shares.fair_level(demands, 105)

    assert level == 30.0


def test_level_is_infinite_while_all_demand_is_met():
    demands = [shares.Demand(1, 5, 1.0), shares.Demand(2, 10, 1.0)]

    assert shares.fair_level(demands, 15) == float('inf')
