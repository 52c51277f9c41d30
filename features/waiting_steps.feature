Feature: A ready step starts within 3 seconds while there is room for it twice over

  # The model plans as the leader does. The advisor's tickets are valid for 1.5 seconds.

  # The tickets of the last gang end while its workers are full, and nobody asks for new ones.
  Scenario: A gang starts once its workers are free although 8 gangs of higher rank wait for others
    Given a leader that plans steps on 40 workers of 32 cores
    And workers 0 to 7 are full for 30 seconds
    And workers 8 to 39 are full for 4 seconds
    And 8 urgent gangs of 1 tasks of 32 cores for workers 0 to 7
    And a gang of 18 tasks of 10 cores for workers 8 to 39
    When 12 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  Scenario: A gang starts once its workers are free although half of all workers are kept for others
    Given a leader that plans steps on 20 workers of 32 cores
    And workers 0 to 9 are full for 30 seconds
    And workers 10 to 19 are full for 4 seconds
    And 2 urgent gangs of 5 tasks of 32 cores for workers 0 to 9
    And a gang of 4 tasks of 10 cores for workers 10 to 19
    When 12 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  Scenario: A gang starts although workers of another pool are kept for gangs
    Given a leader that plans steps on 20 workers of 32 cores
    And 6 workers of 32 cores in another pool
    And workers 0 to 9 are full for 30 seconds
    And workers 20 to 25 are full for 4 seconds
    And 1 urgent gangs of 5 tasks of 32 cores for workers 0 to 9
    And a gang of the other pool of 4 tasks of 10 cores for workers 20 to 25
    When 12 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  # The advisor is asked about 20 workers at first. It approves all that it is asked about.
  Scenario: A gang starts on workers that the advisor was not asked about while the approved ones are full
    Given a leader that plans steps on 40 workers of 32 cores
    And workers 0 to 19 are full for 30 seconds
    And workers 20 to 39 are full for 4 seconds
    And a gang of 2 tasks of 10 cores for workers 0 to 39
    When 12 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  # Which workers drain first changes with each end of a task.
  Scenario: The tickets of a gang are renewed by one helper at a time
    Given a leader that plans steps on 20 workers of 32 cores
    And workers 0 to 19 run tasks of changing length one after another
    And a gang of 12 tasks of 10 cores for workers 0 to 19 with a slow advisor
    When 8 seconds of planning pass
    Then renewals took at most 8 seconds of helpers in all

  # Entry instances call the advisor for the leader, which knows of them by the requests they relay.
  Scenario: Steps start although callers have sent nothing for a while
    Given a leader that plans steps on 40 workers of 32 cores
    And callers send nothing from second 1 on
    And 24 tasks that become ready at second 6 and ask a slow advisor
    When 15 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  Scenario: Steps start while callers send requests
    Given a leader that plans steps on 40 workers of 32 cores
    And 24 tasks that become ready at second 6 and ask a slow advisor
    When 15 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  Scenario: A step starts although those of higher rank ask again and again about full workers
    Given a leader and 4 replicas without entry instances that plan steps on 40 workers
    And workers 0 to 19 are full for 30 seconds
    And 16 urgent tasks for workers 0 to 19, and an overdue one for workers 20 to 39, that ask a slow advisor
    When 12 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  Scenario: A step starts beside one of higher rank that asks again and again about full workers
    Given a leader and 4 replicas without entry instances that plan steps on 40 workers
    And workers 0 to 19 are full for 30 seconds
    And 1 urgent tasks for workers 0 to 19, and an overdue one for workers 20 to 39, that ask a slow advisor
    When 12 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  Scenario: Workers that join one after another take no helper each for a waiting gang
    Given a leader that plans steps on 20 workers of 32 cores
    And workers 0 to 19 are full for 30 seconds
    And a worker joins every 0.1 seconds
    And a gang of 12 tasks of 10 cores for workers 0 to 3 with a slow advisor
    When 8 seconds of planning pass
    Then requests for gangs took at most 8 seconds of helpers in all

  Scenario: Steps whose workers are full take no helpers
    Given a leader that plans steps on 20 workers of 32 cores
    And workers 0 to 19 are full for 30 seconds
    And 16 urgent tasks for workers 0 to 19, and an overdue one for workers 0 to 19, that ask a slow advisor
    When 12 seconds of planning pass
    Then advice for tasks took at most 12 seconds of helpers in all

  # The gang keeps workers 0 to 6. Their tickets for the task end one after another, so that each
  # request lists one of them.
  Scenario: A task starts on free workers although it is approved on workers kept for a gang
    Given a leader that plans steps on 80 workers of 32 cores
    And worker 0 is full for 1 seconds
    And worker 1 is full for 2.5 seconds
    And worker 2 is full for 3.1 seconds
    And worker 3 is full for 3.7 seconds
    And worker 4 is full for 4.3 seconds
    And workers 5 to 59 are full for 30 seconds
    And workers 60 to 79 are full for 4 seconds
    And 1 urgent gangs of 7 tasks of 32 cores for workers 0 to 6
    And a long task for workers 0 to 4 and 60 to 79
    And room on workers kept for gangs is not counted
    When 15 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  Scenario: A step starts although all entry instances are lost
    Given a leader that plans steps on 40 workers of 32 cores
    And all entry instances are lost at second 5.5
    And 1 tasks that become ready at second 6 and ask a slow advisor
    When 15 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  # Gangs and single tasks that take half of the fleet. It is full at first.
  Scenario Outline: Random steps start while workers come, go and fail tasks, seed <seed>
    Given a leader that plans steps on 60 workers of 32 cores
    And random steps and trouble of workers with seed <seed>
    When 22 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

    Examples:
      | seed |
      | 2    |
      | 5    |
      | 13   |
      | 14   |

  Scenario: A task starts although gangs of higher rank wait for more memory than is free
    Given a leader that plans steps on 40 workers of 32 cores
    And workers 0 to 39 have 28 cores and 4 GB left for 30 seconds
    And 4 urgent gangs of 1 tasks of 1 cores and 100 GB
    And a task of 2 cores and 1 GB that asks a slow advisor
    When 12 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  Scenario: A task starts although no worker has room for the gangs of higher rank
    Given a leader that plans steps on 60 workers of 32 cores
    And workers 0 to 59 have 14 cores and 64 GB left for 30 seconds
    And 50 urgent gangs of 2 tasks of 18 cores and 4 GB
    And a task of 2 cores and 1 GB that asks a slow advisor
    When 12 seconds of planning pass
    Then no step waits longer than 3 seconds while there is room for it twice over

  Scenario: A task starts although a gang whose advisor does not answer fits on all workers
    Given a leader that plans steps on 10 workers of 32 cores
    And workers 0 to 9 are full for 4 seconds
    And 1 urgent gangs of 10 tasks of 32 cores for workers 0 to 9
    And the advisor of gangs answers nothing from second 2 on
    And a task of 2 cores that needs no advice and becomes ready at second 5
    When 12 seconds of planning pass
    Then no task waits for placement
