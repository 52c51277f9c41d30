Feature: Tasks of jobs run once, in step order and within worker capacity, under faults

  # In every scenario, features/lib/called_fleet.py checks at each moment that no task runs twice at
  # once or beyond its worker's capacity, and that none starts after it was done, before the steps
  # that it depends on, after its job was refused, or more than 3 s after its job was cancelled.

  # The fault begins when the first task reaches the moment, and a worker's fault affects the worker
  # of that task. Orders, answers and ends are then lost at the points where the leader could start
  # a task twice or not at all. A crashed worker has a successor, and a drain does not end.
  Scenario Outline: Jobs succeed when <fault> affects the <victim> at the <moment> of a task
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

  # Such a task uses no processor time and never ends, but its worker keeps listing it as running.
  Scenario: A job succeeds within 15 seconds although no task makes progress on 2 of 6 workers
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And 2 workers on which no task makes progress
    And a job of 12 tasks of 1 seconds
    When the cell runs for 15 seconds
    Then every accepted job succeeded

  # The waiting member uses no processor time, like a task that makes no progress.
  Scenario: A gang member that has finished its part and waits for the others is not restarted
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a gang of 3 tasks of 6 seconds, one of which finishes its part at once
    When the cell runs for 12 seconds
    Then every accepted job succeeded
    And each task started once

  # A worker that fails its tasks at once mostly has free capacity, so without a suspension it would
  # get task after task.
  Scenario: A worker that fails every task it starts causes at most 6 failed attempts
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And 1 worker that fails every task
    And 40 jobs of 2 tasks over 20 seconds
    When the cell runs for 30 seconds
    Then at most 6 task attempts failed

  # Jobs that can never be done must not take sound workers away from the others.
  Scenario: A job whose tasks always fail takes no worker away from other jobs
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job of 3 tasks that always fail
    When the cell runs for 12 seconds
    Then no worker was ever suspended

  # Each of them may fail the two tasks of two jobs before it is known.
  Scenario: Half of the workers fail every task, and cause at most 12 failed attempts
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And 3 worker that fails every task
    And 40 jobs of 2 tasks over 20 seconds
    When the cell runs for 40 seconds
    Then at most 12 task attempts failed

  # A leader whose writes do not finish can commit nothing but could still renew its leader lease,
  # and so has to transfer leadership.
  Scenario: A job that is submitted after the leader's disk hangs succeeds within 6 seconds
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    When the leader's disk hangs
    And a job is submitted and 6 seconds pass
    Then every accepted job succeeded

  # A worker that the next leader cannot reach does not know its fencing token yet.
  Scenario: A leader that was paused past its lease calls no worker when it resumes
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And jobs with dependent steps, a gang, checkpointing tasks and tasks that fail once
    When the leader is paused for 3 seconds in the middle of its work
    Then it called no worker after the pause
    And every accepted job succeeded

  Scenario: An order that was held up until the leader lease had lapsed is not sent, and its task waits again
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a job is planned just before the leader lease lapses for a moment
    Then no start order left the leader during that moment
    And the job succeeds within 5 seconds

  # Callers of short jobs wait for little more than the run time of a task.
  Scenario: A start order that is lost is given up within 0.35 seconds
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    When 12 single tasks are submitted and one worker leaves its start orders unanswered
    Then each of these orders is followed by a stop order within 0.35 seconds
    When the cell runs for 12 seconds
    Then every accepted job succeeded

  Scenario Outline: A start order that is <fault> is sent again, and its task of <seconds> seconds starts once
    Given a cell of 3 replicas whose leader sends orders to 1 workers
    When a task of <seconds> seconds is submitted, and its first start order is <fault>
    And the cell runs for 10 seconds
    Then every accepted job succeeded
    And each task started once

    Examples:
      | fault                   | seconds |
      | carried out unanswered  | 1       |
      | carried out unanswered  | 6       |
      | carried out late        | 1       |
      | carried out late        | 6       |

  # An operator who sees few waiting jobs would take the queue for served.
  Scenario: Jobs whose start orders no worker has answered still count as waiting
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When 2 workers are cut off
    And 4 single tasks are submitted, and 1 second passes
    Then the leader says that 4 jobs wait
    When the workers are back for 30 seconds
    Then every accepted job succeeded
    And the leader says that 0 jobs wait

  Scenario: A job that uses up the attempts allowed by its queue ends as failed
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job whose task fails 5 times
    When the cell runs for 20 seconds
    Then the job failed after 3 attempts

  Scenario: A job is cancelled, and none of its tasks runs, within 2 seconds of the request
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job of 10 tasks of 30 seconds
    When the cell runs for 2 seconds
    And the job is cancelled and 2 seconds pass
    Then no task of the job runs and its state is cancelled

  # As in the incident of docs/incidents/inc1-limit.md.
  Scenario: Tasks of a job that has ended keep their capacity after a change of leader until they have stopped
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And a job of 16 tasks of 30 seconds
    And a job of 8 tasks of 1 seconds
    When the first job is cancelled, and the leader is lost before a stop order arrives
    And the cell runs for 5 seconds
    Then every accepted job but the first succeeded
    And no scheduling rule was broken

  Scenario: A worker gets no task beside running ones of a job that the cell does not know
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a worker runs 8 tasks of a job that the cell does not know as the leader is lost
    And a job of 16 tasks is submitted, and 6 seconds pass
    Then every accepted job succeeded
    And no scheduling rule was broken

  # An order that was carried out late may have started tasks on it meanwhile.
  Scenario: A worker that was removed while it was silent gets no task before the leader has read what runs there
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a worker is cut off until the leader has removed it
    And it runs 8 tasks of a job that the cell does not know as it comes back
    And a job of 16 tasks is submitted, and 6 seconds pass
    Then every accepted job succeeded
    And no scheduling rule was broken

  Scenario: Two attempts of a task on one worker take capacity twice, and release it one by one
    Given a worker with two attempts of a task of 1000 millicores
    Then 6000 of its 8000 millicores are free
    When the first attempt has ended
    Then 7000 of its 8000 millicores are free
    When the second attempt has ended
    Then 8000 of its 8000 millicores are free

  Scenario: Tasks start only on workers that the advisor approves
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And an advisor that approves 2 workers
    And a gang of 4 tasks of 2 seconds
    When the cell runs for 10 seconds
    Then every accepted job succeeded
    And only the approved workers ran tasks

  # The earlier leader may have started tasks on a worker that is silent now. Only what may run there waits.
  Scenario: A change of leader holds up no job for a silent worker that the advisor refuses for it
    Given a cell of 3 replicas and 6 workers, 2 approved by an advisor
    When a worker that the advisor refuses is cut off as the leader of a job that has just been accepted is lost
    Then the job succeeds within 3 seconds of the next leader
    And no scheduling rule was broken

  Scenario: A change of leader holds up a job for a silent worker on which it may run
    Given a cell of 3 replicas and 6 workers, 2 approved by an advisor
    When a worker that the advisor approves is cut off as the leader of a job that has just been accepted is lost
    Then no task of the job starts within 3 seconds of the next leader

  Scenario: An answer of the advisor that is partly malformed frees no inherited job
    Given a cell of 3 replicas and 6 workers, 2 approved by an advisor
    And answers of the advisor that are partly malformed
    When a worker that the advisor refuses is cut off as the leader of a job that has just been accepted is lost
    Then no task of the job starts within 3 seconds of the next leader

  Scenario: A step that no earlier leader could start waits for no silent worker
    Given a cell of 3 replicas and 6 workers, 1 approved by an advisor
    When a worker that the advisor refuses is cut off as the leader of a job in its first step is lost
    Then the job succeeds within 3 seconds of the next leader
    And no scheduling rule was broken

  Scenario: A gang submitted while the advisor is down succeeds within 10 seconds of its recovery
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And an advisor that approves 2 workers
    And the advisor is down
    And a gang of 4 tasks of 2 seconds
    When the cell runs for 5 seconds
    And the advisor is available again
    And the cell runs for 10 seconds
    Then every accepted job succeeded

  # Small tasks would take any capacity that becomes free, unless it is set aside for the gang.
  Scenario: A gang that needs every worker is not starved by a stream of small tasks
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a stream of 200 small jobs over 20 seconds
    And a gang that needs the full capacity of every worker
    When the cell runs for 30 seconds
    Then every accepted job succeeded

  Scenario Outline: Where the network loses <loss> percent of the answers, a worker is suspected after <orders> orders
    Given a fleet of 24 workers that left <loss> percent of their calls unanswered
    When one more worker leaves its orders unanswered
    Then it is suspended after <orders> orders

    Examples:
      | loss | orders |
      | 0    | 2      |
      | 5    | 2      |
      | 10   | 2      |
      | 30   | 4      |
      | 60   | 8      |
      | 100  | 8      |

  Scenario: A quarter of the workers hang, and each of them is suspended after 2 orders
    Given a fleet of 24 workers that left 0 percent of their calls unanswered
    When 6 of its workers leave their orders unanswered
    Then each of the 6 is suspended after 2 orders

  # Workers that run what they were given must not lose their place for lost answers.
  Scenario: Workers that lose 30 percent of the answers are hardly ever suspended
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And workers that leave 30 percent of calls unanswered and execute starts and stops late
    And 60 jobs of 6 tasks over 10 seconds
    When the cell runs for 10 seconds
    Then at most 2 workers were suspended at a time

  # If a single unanswered order suspended its worker, few workers would be left for the jobs.
  Scenario: Calls that workers occasionally leave unanswered delay at most 5 percent of the jobs
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And workers that leave 7 percent of calls unanswered and execute starts and stops late
    And 60 jobs of 10 tasks over 20 seconds
    When the cell runs for 24 seconds
    Then at least 95 percent of the jobs succeeded

  Scenario: A gang that exceeds the pool's capacity does not block other jobs
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a gang of 5 tasks that each need the full capacity of a worker
    And a stream of 8 small jobs over 1 seconds
    When the cell runs for 3 seconds
    Then every accepted job but the first succeeded

  # A caller that got no answer repeats its request.
  Scenario: The tasks of a job that is submitted repeatedly start once each
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job of 3 tasks of 1 seconds
    When the job is submitted 3 more times
    And the cell runs for 5 seconds
    Then every accepted job succeeded
    And each task started once

  # The worker's lease then ends after the deadline of a late order. A leader that restarted the
  # tasks of a cut-off worker at that deadline would let them run twice.
  Scenario: Late orders whose lease is counted from their arrival do not let a task run twice
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And workers that leave 40 percent of calls unanswered and count leases from arrival
    And 10 jobs of 6 tasks over 4 seconds
    When the cell runs for 3 seconds
    And 3 workers are cut off
    And the cell runs for 30 seconds
    Then no scheduling rule was broken

  # Workers can know attempts that the leader does not, for instance from an earlier leader's late
  # orders. The leader's start is then superseded, and it skips some attempt numbers.
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

  # The second heartbeat arrives while the change that records the worker is being committed.
  # Its next heartbeat may come only after the next leader has started tasks on it.
  Scenario: A worker that has announced its leave gets no task from the next leader either
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a worker announces that it drains, and the leader is lost at once
    And 12 single tasks are submitted before the next heartbeat
    Then the draining worker has started none of them
    And no scheduling rule was broken

  Scenario: A worker that starts draining while the leader records it is known as draining
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a worker sends its first heartbeat and at once another one that says it drains
    Then the leader knows it as draining

  # Names of tasks consist of the job id and numbers with dots between them.
  Scenario Outline: A job with the id <id> is refused with a code, and never runs
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    When a job is submitted with the id <id>
    Then the answer is 400 with the code invalid-job-id
    And no task was started

    Examples:
      | id           |
      | a.0.1        |
      | a/b          |
      | naïve        |
      | %20          |

  Scenario: A job id is used in one queue only
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a second queue
    When a job is submitted to each of the two queues with the same id
    Then the first submission is answered with 200, the second with 409 and the code job-id-in-use
    And the second queue has no job of this id to read or to cancel
    And the job of the first queue succeeds

  Scenario Outline: A submission of <size> bytes is <answer> where the queue table allows <limit>
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a queue table that allows <limit> bytes a submission
    When a job is submitted with a body of <size> bytes
    Then the answer is <status> with the code <code>

    Examples:
      | limit | size    | answer   | status | code           |
      | 2000  | 2000    | accepted | 200    | none           |
      | 2000  | 2001    | refused  | 413    | body-too-large |
      | 0     | 1048576 | accepted | 200    | none           |
      | 0     | 1048577 | refused  | 413    | body-too-large |

  # No two leaders may give one number to different attempts of a task.
  Scenario: A term ends rather than use attempt numbers of the next one
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And workers that have seen 1048576 attempts of the next job's tasks
    And a job of 1 tasks of 1 seconds
    When the leader has used all attempt numbers of its term but one
    And the cell runs for 40 seconds
    Then every accepted job succeeded
    And the attempts of each term lie in the range of that term

  # Its tasks lapse, so they have to run elsewhere.
  Scenario: Tasks of a worker that rejects each lease renewal run elsewhere
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a job of 4 tasks of 2 seconds
    When the cell runs for 1 seconds
    And one worker with tasks rejects each lease renewal
    And the cell runs for 30 seconds
    Then every accepted job succeeded
    And no scheduling rule was broken

  # The longest prefix counts, however many queues there are.
  Scenario: Each path leads to the queue with the longest prefix among 2000 queues
    Given a queue table of 2000 queues on 3 hosts, some with prefixes of others
    Then each path leads to the queue with the longest prefix, or to none
