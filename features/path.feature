Feature: Records run from submission to their end over real sockets

  # The example records are those that the dev command submits.
  Scenario Outline: <size> instances run a service, a batch record, a gang and a version 1 record to their end
    Given a live cell of <size> instances with 6 stand-in workers
    When the example records are submitted to the instances in turn
    Then all tasks of the service run, spread over 3 zones
    And the batch record, the gang and the version 1 record succeed
    And the record that always fails has failed with a reason
    And the record that is too large was refused with code larger-than-fleet
    And every instance explains every accepted record

    Examples:
      | size |
      | 1    |
      | 3    |
