Feature: Jobs of several steps run once, in order, within what workers have, under every fault

  Scenario Outline: <fault> hits the <victim> <step>
    Given a cell of 3 replicas that calls 6 workers
    And jobs with dependent steps, a gang, checkpoints and a task that fails once
    When <fault> hits the <victim> at a task's <step>
    And 8 seconds pass, the faults end, and 40 more pass
    Then every accepted job succeeded

    Examples: the leader
      | fault             | victim | step  |
      | kill              | leader | start |
      | kill              | leader | end   |
      | pause             | leader | start |
      | pause             | leader | end   |
      | two-way partition | leader | start |
      | two-way partition | leader | end   |

    Examples: a worker
      | fault          | victim | step  |
      | crash          | worker | start |
      | crash          | worker | end   |
      | cut off        | worker | start |
      | cut off        | worker | end   |
      | freeze         | worker | start |
      | lost answers   | worker | start |
      | lost answers   | worker | end   |
      | late orders    | worker | start |
      | late orders    | worker | end   |
      | drain          | worker | start |
      | failing        | worker | start |
      | hanging        | worker | start |

    Examples: both at once
      | fault                    | victim | step  |
      | late orders, leader kill | worker | start |
      | cut off, leader kill     | worker | start |
      | cut off, leader kill     | worker | end   |
      | lost answers, leader pause | worker | start |

  Scenario: Tasks that stand still on a worker go on elsewhere within seconds
    Given a cell of 3 replicas that calls 6 workers
    And 2 workers on which every task stands still
    And a job of 12 tasks of 1 seconds
    When 15 seconds of jobs pass
    Then every accepted job succeeded

  Scenario: A member of a gang that waits for the others is left alone
    Given a cell of 3 replicas that calls 6 workers
    And a gang of 3 tasks of 6 seconds of which one ends its part at once
    When 12 seconds of jobs pass
    Then every accepted job succeeded
    And each task started once

  Scenario: A worker that fails all it starts costs few tasks an attempt
    Given a cell of 3 replicas that calls 6 workers
    And 1 worker that fails every task
    And 40 jobs of 2 tasks over 20 seconds
    When 30 seconds of jobs pass
    Then at most 6 tasks failed

  Scenario: A leader whose disk hangs gives the lead away, and jobs go on
    Given a cell of 3 replicas that calls 6 workers
    When the leader's disk hangs
    And a job is handed in and 6 seconds pass
    Then every accepted job succeeded

  Scenario: A job that fails as often as its queue allows ends as failed
    Given a cell of 3 replicas that calls 6 workers
    And a job whose task fails 5 times
    When 20 seconds of jobs pass
    Then the job failed after 3 attempts

  Scenario: A cancelled job stops in time and starts nothing any more
    Given a cell of 3 replicas that calls 6 workers
    And a job of 10 tasks of 30 seconds
    When 2 seconds of jobs pass
    And the job is cancelled and 2 seconds pass
    Then nothing of it runs and it is shown as cancelled

  Scenario: Tasks start only where the advisor approves
    Given a cell of 3 replicas that calls 6 workers
    And an advisor that approves 2 workers
    And a gang of 4 tasks of 2 seconds
    When 10 seconds of jobs pass
    Then every accepted job succeeded
    And only the approved workers ran tasks

  Scenario: An advisor that is down for a while delays jobs and loses none
    Given a cell of 3 replicas that calls 6 workers
    And an advisor that approves 2 workers
    And the advisor is down
    And a gang of 4 tasks of 2 seconds
    When 5 seconds of jobs pass
    And the advisor is back
    And 10 seconds of jobs pass
    Then every accepted job succeeded

  Scenario: A wide gang is not starved by a stream of small tasks
    Given a cell of 3 replicas that calls 4 workers
    And a stream of 200 small jobs over 20 seconds
    And a gang that needs every worker whole
    When 30 seconds of jobs pass
    Then every accepted job succeeded

  Scenario: Orders that are lost now and then cost little time and no worker
    Given a cell of 3 replicas that calls 6 workers
    And workers that leave 7 percent of all calls unanswered and carry them out late
    And 60 jobs of 10 tasks over 20 seconds
    When 24 seconds of jobs pass
    Then at least 95 percent of the jobs succeeded

  Scenario: A gang that can never fit holds nothing back
    Given a cell of 3 replicas that calls 4 workers
    And a gang of 5 tasks that each need a whole worker
    And a stream of 8 small jobs over 1 seconds
    When 3 seconds of jobs pass
    Then every accepted job but the first succeeded

  Scenario: The submission of a job is acknowledged once, whatever is sent again
    Given a cell of 3 replicas that calls 6 workers
    And a job of 3 tasks of 1 seconds
    When the job is submitted 3 more times
    And 5 seconds of jobs pass
    Then every accepted job succeeded
    And each task started once

  Scenario: Late orders whose time begins when they arrive do not let a task run twice
    Given a cell of 3 replicas that calls 6 workers
    And workers that leave 40 percent of all calls unanswered and count their time from arrival
    And 10 jobs of 6 tasks over 4 seconds
    When 3 seconds of jobs pass
    And 3 workers are cut off
    And 30 seconds of jobs pass
    Then no rule is broken

  Scenario: An end of an older attempt leaves the newer one alone
    Given a cell of 3 replicas that calls 6 workers
    And workers that have seen 5 attempts of the next job's tasks
    And a job of 1 tasks of 6 seconds
    When 1 seconds of jobs pass
    And its worker lists a stopped end of an older attempt
    And 8 seconds of jobs pass
    Then every accepted job succeeded
    And each task started once

  Scenario: A newer attempt stops once an older one is known to have ended well
    Given a cell of 3 replicas that calls 6 workers
    And workers that have seen 5 attempts of the next job's tasks
    And a job of 2 tasks of 6 seconds
    When 1 seconds of jobs pass
    And its worker lists a done end of an older attempt
    And 2 seconds of jobs pass
    Then 1 task runs

  Scenario: A worker that drains while it is taken up gets no work
    Given a cell of 3 replicas that calls 2 workers
    When a worker announces itself and drains at once
    Then it is known to drain
