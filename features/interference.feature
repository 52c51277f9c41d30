Feature: Slow workers and interfering tasks are found from run times, and avoided where there is room

  # A stand-in fleet of 40 workers, 10 of which run at 0.55 of the usual speed and the others at 1.2.
  # Of all tasks, 3 % last seven times as long, and estimates are off by a factor of up to two in
  # common for a step. The busy fleet of the plan ends 415 tasks a second, so that 3000 ends are 7 s.
  Scenario Outline: A pair that slows down by <factor> is found within 3000 ends and forgotten in a minute
    Given an uneven fleet with seed <seed> that has run for 15 seconds
    When checks make sweeps take <factor> times as long
    Then the pair is found within 3000 ends
    When checks make sweeps take 1.0 times as long
    Then the pair is forgotten within 60 seconds

    Examples:
      | factor | seed |
      | 1.6    | 1    |
      | 1.6    | 2    |
      | 2.0    | 3    |

  # Slow workers and stragglers must not be taken for interference.
  Scenario Outline: Without interference, at most one pair is ever believed in 60 seconds
    Given an uneven fleet with seed <seed> that has run for 60 seconds
    Then at most 1 pair was ever believed
    And at least 6 slow workers are believed to be slow
    And no fast worker is believed to be slow

    Examples:
      | seed |
      | 4    |
      | 5    |

  # The starts of a full fleet must not wait for better workers.
  Scenario Outline: A round starts as many tasks with beliefs as without at <load> times the load
    Given two equal uneven fleets with seed <seed> at <load> times the load, and beliefs
    When the first plans a round with its beliefs and the second one without
    Then both start the same tasks
    And no worker is loaded above its capacity

    Examples:
      | load | seed |
      | 1    | 1    |
      | 2    | 2    |
      | 4    | 3    |

  Scenario: A leader that starts anew, or that does not learn, chooses as if there were no differences
    Given an uneven fleet that learns and one that does not
    When both run until the first one believes that a worker is slow or fast
    Then both have made the same choices
    And the other one believes nothing after 10 more seconds

  Scenario Outline: A gang of <size> is placed on <where>
    Given a fleet of 4 slow and 4 fast workers that are known
    When a gang of <size> tasks that fill a worker each arrives
    Then it starts on <where>

    Examples:
      | size | where                 |
      | 4    | fast workers only     |
      | 6    | slow and fast workers |

  Scenario: A task moves to a fast worker, but not above its limit per worker
    Given a fleet of 4 slow and 4 fast workers that are known
    When a step of 6 small tasks with at most 1 a worker arrives
    Then it has 4 tasks on fast workers and 2 on slow ones

  Scenario: Malformed and late reports teach nothing
    Given an uneven fleet with seed 1 that has run for 15 seconds
    Then malformed run times change nothing and are counted
    And the end of a task whose worker has not answered for a while teaches nothing
    And so does the end of a task that failed, continued, or was limited in its speed

  # Guards the way from the workers' lists to what is learnt, which the stand-in fleet leaves out.
  Scenario: The leader of a cell learns from the lists of its workers
    Given a cell of 3 replicas that learns from the run times on 6 workers
    And 30 jobs of 4 tasks over 15 seconds
    When the cell runs for 20 seconds
    Then the leader has learnt the speeds of some workers, and none is believed to be slow

  Scenario: Memory is bounded by the number of kinds and workers
    When tasks of 300 kinds end on 6000 workers
    Then at most 4096 pairs and 5000 workers are kept
