Feature: An answer to a cancellation holds for submissions that are under way

  # Guards against a cancellation that is answered while its job is being committed, and has no effect.
  Scenario Outline: A job runs nothing once its cancellation is answered, if that arrives <when>
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a job is submitted and cancelled, and the cancellation arrives <when>
    And the cell runs for 8 seconds
    Then the cancellation was answered with <status>
    And the submission was answered with 200
    And no task of the job has started since, none runs, and it is shown as cancelled

    Examples:
      | when                                               | status |
      | in the same batch                                  | 200    |
      | in the same batch, first                           | 200    |
      | while the submission is committed                  | 200    |
      | before the submission                              | 410    |
      | before the submission, which meets the next leader | 410    |
      | before the submission, and all replicas restart    | 410    |

  # Guards against a client's resend that brings a cancelled job back.
  Scenario: A job that was cancelled before it was accepted stays cancelled when it is sent again
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a job is submitted and cancelled, and the cancellation arrives before the submission
    And the job is submitted again
    And the cell runs for 8 seconds
    Then no task of the job has started since, none runs, and it is shown as cancelled

  Scenario: A cancellation in one queue leaves a job of the same id in another queue alone
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And a second queue
    When a job of the first queue is cancelled in the second one, and then submitted
    And the cell runs for 8 seconds
    Then the cancellation was answered with 410
    And the job of the first queue succeeds

  Scenario: A cancellation by one team leaves a job of another team alone
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And teams a and b with a key each
    When a job of team a is cancelled by team b while its submission is committed
    And the cell runs for 8 seconds
    Then the cancellation was answered with 403
    And the job of the first queue succeeds

  # Guards against a submission that is refused as without effect, although its job is stored and runs.
  Scenario: A batch whose leader is deposed after its first commit is not reported as without effect
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And a job of 2 tasks of 30 seconds
    When a batch submits a job and cancels another, and the leader is deposed after one commit
    Then either the batch is answered or its job is not stored

  # Guards against a growing table of ids that were cancelled without a job.
  Scenario: A cancelled id without a job is forgotten once the retention period has passed
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a job that was never submitted is cancelled
    And the cell runs for 140 seconds
    Then no cancelled id is remembered
