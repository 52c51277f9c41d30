Feature: Multi-step jobs run once, in order and within worker capacity, under every fault

  Scenario Outline: Jobs succeed when <fault> affects the <victim> at task <moment>
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And jobs with dependent steps, a gang, checkpointing tasks and tasks that fail once
    When <fault> affects the <victim> at the <moment> of a task
    And the faults end after 8 seconds and the cell runs for 40 more
    Then every accepted job succeeded

    Examples: the leader
      | fault             | victim | moment |
      | kill              | leader | start  |
      | kill              | leader | end    |
      | pause             | leader | start  |
      | pause             | leader | end    |
      | two-way partition | leader | start  |
      | two-way partition | leader | end    |

    Examples: a worker
      | fault        | victim | moment |
      | crash        | worker | start  |
      | crash        | worker | end    |
      | cut off      | worker | start  |
      | cut off      | worker | end    |
      | freeze       | worker | start  |
      | lost answers | worker | start  |
      | lost answers | worker | end    |
      | late orders  | worker | start  |
      | late orders  | worker | end    |
      | drain        | worker | start  |
      | failing      | worker | start  |
      | hanging      | worker | start  |

    Examples: both at once
      | fault                      | victim | moment |
      | late orders, leader kill   | worker | start  |
      | cut off, leader kill       | worker | start  |
      | cut off, leader kill       | worker | end    |
      | lost answers, leader pause | worker | start  |

  Scenario: Tasks that make no progress on a worker are restarted elsewhere within seconds
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And 2 workers on which no task makes progress
    And a job of 12 tasks of 1 seconds
    When the cell runs for 15 seconds
    Then every accepted job succeeded

  Scenario: A gang member that has finished its part and waits for the others is not restarted
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a gang of 3 tasks of 6 seconds, one of which finishes its part at once
    When the cell runs for 12 seconds
    Then every accepted job succeeded
    And each task started once

  Scenario: A worker that fails every task it starts causes only a few failed attempts
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And 1 worker that fails every task
    And 40 jobs of 2 tasks over 20 seconds
    When the cell runs for 30 seconds
    Then at most 6 task attempts failed

  Scenario: A leader whose disk hangs gives up leadership, and jobs continue
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    When the leader's disk hangs
    And a job is submitted and 6 seconds pass
    Then every accepted job succeeded

  Scenario: A job that uses up the attempts allowed by its queue ends as failed
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job whose task fails 5 times
    When the cell runs for 20 seconds
    Then the job failed after 3 attempts

  Scenario: A cancelled job stops promptly and starts no further tasks
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job of 10 tasks of 30 seconds
    When the cell runs for 2 seconds
    And the job is cancelled and 2 seconds pass
    Then no task of the job runs and its state is cancelled

  Scenario: Tasks start only on workers that the advisor approves
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And an advisor that approves 2 workers
    And a gang of 4 tasks of 2 seconds
    When the cell runs for 10 seconds
    Then every accepted job succeeded
    And only the approved workers ran tasks

  Scenario: A temporary outage of the advisor delays jobs and loses none
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And an advisor that approves 2 workers
    And the advisor is down
    And a gang of 4 tasks of 2 seconds
    When the cell runs for 5 seconds
    And the advisor is available again
    And the cell runs for 10 seconds
    Then every accepted job succeeded

  Scenario: A gang that needs every worker is not starved by a stream of small tasks
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a stream of 200 small jobs over 20 seconds
    And a gang that needs the full capacity of every worker
    When the cell runs for 30 seconds
    Then every accepted job succeeded

  Scenario: Orders that are occasionally lost cause little delay and exclude no worker
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And workers that leave 7 percent of calls unanswered and execute them late
    And 60 jobs of 10 tasks over 20 seconds
    When the cell runs for 24 seconds
    Then at least 95 percent of the jobs succeeded

  Scenario: A gang that exceeds the pool's capacity does not block other jobs
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a gang of 5 tasks that each need the full capacity of a worker
    And a stream of 8 small jobs over 1 seconds
    When the cell runs for 3 seconds
    Then every accepted job but the first succeeded

  Scenario: A job that is submitted repeatedly is accepted and run once
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job of 3 tasks of 1 seconds
    When the job is submitted 3 more times
    And the cell runs for 5 seconds
    Then every accepted job succeeded
    And each task started once

  Scenario: Late orders whose lease is counted from their arrival do not let a task run twice
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And workers that leave 40 percent of calls unanswered and count leases from arrival
    And 10 jobs of 6 tasks over 4 seconds
    When the cell runs for 3 seconds
    And 3 workers are cut off
    And the cell runs for 30 seconds
    Then no scheduling rule was broken

  Scenario: The reported end of an older attempt does not affect the newer one
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And workers that have seen 5 attempts of the next job's tasks
    And a job of 1 tasks of 6 seconds
    When the cell runs for 1 seconds
    And its worker reports an older attempt as stopped
    And the cell runs for 8 seconds
    Then every accepted job succeeded
    And each task started once

  Scenario: A newer attempt is stopped once an older one is known to be done
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And workers that have seen 5 attempts of the next job's tasks
    And a job of 2 tasks of 6 seconds
    When the cell runs for 1 seconds
    And its worker reports an older attempt as done
    And the cell runs for 2 seconds
    Then 1 task runs

  Scenario: A worker that starts draining while the leader registers it gets no work
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a worker announces itself and starts draining at once
    Then the leader records it as draining
