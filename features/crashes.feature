Feature: Tasks that crash their workers are given up, and no others are

  # In every scenario, features/lib/called_fleet.py checks the rules of job_faults.feature, and that a
  # task is started at most twice once three workers have crashed under it. A crashed worker is back
  # as another incarnation after 2 s.
  Scenario: A task that crashes each worker that starts it is given up after at most 3 crashes
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job whose only task crashes its worker
    And 30 jobs of 2 tasks over 15 seconds
    When the cell runs for 30 seconds
    Then the job of the deadly task failed after at most 3 crashes
    And every accepted job but the first succeeded

  Scenario: A gang with a member that crashes its worker is given up after at most 3 crashes
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a gang of 4 tasks, one of which crashes its worker
    And 30 jobs of 2 tasks over 15 seconds
    When the cell runs for 40 seconds
    Then the job of the deadly task failed after at most 3 crashes
    And every accepted job but the first succeeded

  # The leader is lost between a crash and its discovery each time, which may hide that crash.
  Scenario: A task that crashes its workers is given up although the leader is lost after 3 of the crashes
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job whose only task crashes its worker
    When the leader is lost right after each of the first 3 crashes
    And the cell runs for 40 seconds
    Then the job of the deadly task failed after at most 5 crashes

  Scenario: A change of leader does not forget the crashes that are known
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job whose only task crashes its worker
    When the leader is lost once the next attempt of the deadly task runs
    And the cell runs for 40 seconds
    Then the job of the deadly task failed after at most 3 crashes

  # The lease of a worker that is silent is over after 4 s, and its tasks are placed anew.
  Scenario: Crashes are counted of workers that return after their tasks were placed anew
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And crashed workers that return after 8 seconds
    And a job whose only task crashes its worker
    When the cell runs for 60 seconds
    Then the job of the deadly task failed after at most 4 crashes

  # Tasks that are lost with a worker that is cut off have not crashed it.
  Scenario: A task whose workers are cut off 4 times is not given up
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job of 1 tasks of 6 seconds
    When the worker of the task is cut off for 6 seconds, 4 times
    And the cell runs for 20 seconds
    Then every accepted job succeeded

  # It can't be reached meanwhile, but goes on sending heartbeats.
  Scenario: A worker that crashes after its job has been forgotten ends no leader
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job of 1 tasks of 6 seconds
    When the worker of the task gets no calls for 150 seconds and then crashes
    And the cell runs for 20 seconds
    Then no replica has ended

  # One after another, every worker crashes once; each task may meet more than one of the crashes.
  Scenario: Jobs succeed although all workers crash, two every 3 seconds
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And 30 jobs of 4 tasks over 15 seconds
    When 2 workers crash every 3 seconds, 5 times
    And the cell runs for 20 seconds
    Then every accepted job succeeded

  # Most crashes hit other jobs too; a task that starts after the deadly one may be blamed in its place.
  Scenario Outline: Of many jobs only those with a task that crashes its worker after <delay> ms fail
    Given a cell of 3 replicas whose leader sends orders to 12 workers
    And deadly tasks that crash their workers after <delay> ms
    And 60 jobs over 20 seconds, of which each 10th has a deadly task
    When the cell runs for 60 seconds
    Then just the jobs with a deadly task failed, and all others succeeded

    Examples:
      | delay |
      | 0     |
      | 20    |
      | 300   |

  # The worker still counts as usable, as its last heartbeat is recent.
  Scenario: A task whose start orders found no worker to connect to is not blamed for the crash
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a worker is down for 2 seconds, and 16 single tasks are submitted meanwhile
    And the cell runs for 20 seconds
    Then every accepted job succeeded
    And no crash is counted for any task

  # The new leader does not know which of them started last.
  Scenario: Of tasks that a new leader found running on a worker that crashes, none is blamed as the newest
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And a job of 12 tasks of 8 seconds
    When the leader is lost while they run, and all workers crash 2 seconds later
    Then one crash is counted for each of the 12 tasks, and none as the newest task
