Feature: The leader starts fewer tasks a second while its event loop falls behind

  # A stand-in loop carries a number of starts a second; what is beyond delays its next turns.
  Scenario: More tasks wait than the loop can start, and its lag stays short
    Given a loop that carries 400 starts a second
    When 900 tasks a second become ready for 10 seconds
    Then from second 3 on, 250 to 420 tasks start each second
    And from second 3 on, the mean lag is below 0.05 s

  Scenario: A loop that keeps up is not limited
    Given a loop that carries 400 starts a second
    When 300 tasks a second become ready for 5 seconds
    Then from second 0 on, 290 to 310 tasks start each second
    And there is no limit

  Scenario: The limit ends after a burst
    Given a loop that carries 400 starts a second
    When 900 tasks a second become ready for 3 seconds
    And 0 tasks a second become ready for 8 seconds
    And 300 tasks a second become ready for 2 seconds
    Then there is no limit

  # Such lag has another cause, so that fewer starts would only cost time.
  Scenario: A loop that lags without starts does not stop them
    Given a loop that lags by 0.2 s whatever it does
    When 200 tasks a second become ready for 5 seconds
    Then from second 1 on, 45 to 200 tasks start each second

  Scenario: A gang is started whole, and its size is taken from later rounds
    Given a limit of 100 starts a second
    When a gang of 30 tasks starts
    Then no task may start for the next 0.2 seconds
    And a task may start after 0.4 seconds

  Scenario: A stall while few tasks start does not limit the starts after it
    Given a loop that carries 400 starts a second
    When 20 tasks a second become ready for 2 seconds
    And the loop stalls for 0.5 seconds
    And 200 tasks a second become ready for 3 seconds
    Then from second 2 on, 190 to 210 tasks start each second

  Scenario: Single stalls do not limit the starts
    Given a loop that carries 400 starts a second
    When 300 tasks a second become ready for 5 seconds, beside stalls of 0.04 seconds
    Then from second 0 on, 290 to 310 tasks start each second
    And there is no limit

  Scenario: The starts of a large gang are earned also while no round asks for them
    Given a limit of 100 starts a second
    When a gang of 30 tasks starts
    Then a task may start in one round after 0.4 seconds

  Scenario: One round does not start all that waits
    Given a loop that carries 400 starts a second
    When 300 tasks are ready
    Then one round starts at most 64 of them
