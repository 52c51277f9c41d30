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

  # A worker on probation takes one task, so planning the gang takes it out of the index for a moment.
  Scenario: A gang is placed with one of its tasks on a worker on probation
    Given a planner over 3 workers in 3 zones
    And worker w1 is on probation
    When a gang record of 3 tasks that each need a whole worker is planned
    Then 3 tasks are planned, one of them on worker w1

  Scenario Outline: A team that may not borrow gets no more than its quota in one plan, as <kind>
    Given a planner over 12 workers in 3 zones
    And a quota of <quota> millicores without borrowing for the team
    When a <kind> record of 4 tasks of 1000 millicores is planned
    Then <count> tasks are planned

    Examples:
      | kind  | quota | count |
      | batch | 2500  | 2     |
      | batch | 4000  | 4     |
      | gang  | 2500  | 0     |
      | gang  | 4000  | 4     |

  # In a quota, 0 sets no limit for a resource.
  Scenario: The explanation of a waiting record names no quota of 0 as its reason
    Given a planner over 0 workers in 3 zones
    And a quota of 0 millicores without borrowing for the team
    When a batch record of 1 tasks of 1000 millicores is planned
    Then its explanation does not mention the quota

  Scenario: A retry that finds no worker leaves the retry budget as it was
    Given a planner over 0 workers in 3 zones
    And a budget of a single retry
    When a batch record that failed once before is planned 5 times
    Then the budget still allows a retry
