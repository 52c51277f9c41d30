Feature: A peer server completes requests over real connections

  # A handler that is cancelled between a write to the log and the update of the state in memory would leave
  # the two different.
  Scenario: The server completes a request that its client cancels
    Given a peer server with a handler that waits
    When a client cancels a request while its handler runs
    Then the handler of the cancelled request runs to its end
