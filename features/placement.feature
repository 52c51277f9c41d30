Feature: Reservations match the active tasks and every record is accounted for, whatever commands occur

  # Checked after each random command: the reservations of each worker and team equal those of the
  # active tasks; a record runs, waits with a reason or has ended with one; no gang is placed in part;
  # a restored snapshot equals the state. A worker's reservations may exceed a capacity that was
  # reduced, so they are compared with the largest capacity only.
  Scenario: Random submissions, placements, reports, losses and cancellations keep every invariant
    Then 60 random runs keep every invariant

  Scenario Outline: tasks of a <kind> record are placed by the policy of that kind
    Given a planner over 12 workers in 3 zones
    When a <kind> record of <tasks> tasks is placed
    Then <outcome>

    Examples:
      | kind    | tasks | outcome                                  |
      | service | 6     | each zone holds 2 of the tasks           |
      | service | 12    | no worker holds more than 1 of the tasks |
      | batch   | 4     | all tasks share one worker               |
      | gang    | 12    | all tasks are placed by one plan         |
      | gang    | 500   | no task is placed                        |

  Scenario: A change of the objective changes the order of placement
    Given a planner over 12 workers in 3 zones
    When a small and a large batch record wait and the objective is changed to packing
    Then the large record is placed first
