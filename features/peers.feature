Feature: Instances exchange requests over real connections

  Scenario: The server completes a request that its client cancels
    Given a peer server with a handler that waits
    When a client cancels a request while its handler runs
    Then the handler of the cancelled request runs to its end
