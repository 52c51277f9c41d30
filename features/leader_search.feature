Feature: An instance without the cell state finds the leader, however many replicas are silent

  # A replica that has lost power answers nothing, not even that it is gone.
  Scenario Outline: A new leader is found at once although two replicas do not answer, <seconds> s after the loss
    Given an entry instance that knows 5 replicas, of which the leader and another fall silent
    When another replica leads <seconds> seconds later
    Then the entry instance knows it at most 0.12 seconds after that

    Examples:
      | seconds |
      | 0.8     |
      | 0.9     |
      | 1.0     |
      | 1.1     |
      | 1.2     |

  Scenario: A leader that did not answer a request in time is not waited for again
    Given an entry instance that knows 5 replicas, of which the leader falls silent
    When another replica leads at once and the entry instance suspects the leader
    Then the entry instance knows it at most 0.12 seconds after that

  # Requests that were sent to a frozen leader one after another would each wait for their own time limit.
  Scenario: Requests to a leader that does not answer go to the next one as soon as it is known
    Given an entry instance that knows 5 replicas, of which the leader falls silent
    When it sends a request every 0.1 seconds for 0.5 seconds, and another replica leads from then on
    Then all are answered within 0.72 seconds of the first one

  Scenario: A request that must not be sent twice is not withdrawn from a silent leader
    Given an entry instance that knows 5 replicas, of which the leader falls silent
    When it sends a request that is not idempotent, and another replica leads at once
    Then the outcome of the request is unknown after 0.6 seconds

  Scenario: A suspected leader that still leads is found again
    Given an entry instance that knows 5 replicas
    When the entry instance suspects the leader
    Then the entry instance knows the same leader within 0.12 seconds

  Scenario: A replica that becomes known during a search is queried in the same search
    Given an entry instance that knows one replica, which knows of the leader's address
    When the entry instance looks for the leader
    Then it has found the leader within 0.25 seconds
