Feature: Each caller receives its own complete response and a true report of whether the call ran

  # A call may have run as soon as a byte of its request was sent, unless the backend server reports
  # that it did not. The instance must not report "no" for a call that may have run, nor run a call
  # that is not repeatable twice.
  Scenario Outline: a call that is <repeatable> reports ran: <ran> after <fault> at the only backend server
    Given a live cell of one instance with a backend server of 4 slots
    When the fault <fault> is injected into the next call at the backend server
    And a call that is <repeatable> is made
    Then the response has status <status> and reports Dewspindle-Ran: <ran>
    And the backend server has run the call <times>
    And the next call receives a complete response

    Examples: not repeatable
      | fault                    | repeatable     | status | ran     | times   |
      | refusal                  | not repeatable | 503    | no      | 0 times |
      | reset mid-request        | not repeatable | 502    | unknown | 0 times |
      | reset after request      | not repeatable | 502    | unknown | 1 times |
      | stall                    | not repeatable | 504    | unknown | 1 times |
      | malformed response       | not repeatable | 502    | unknown | 1 times |
      | truncated body           | not repeatable | 502    | unknown | 1 times |
      | wrong content length     | not repeatable | 502    | unknown | 1 times |
      | duplicate response       | not repeatable | 200    | yes     | 1 times |
      | close after response     | not repeatable | 200    | yes     | 1 times |

    Examples: repeatable, with no other backend server to try
      | fault                    | repeatable | status | ran     | times   |
      | refusal                  | repeatable | 503    | no      | 0 times |
      | reset after request      | repeatable | 502    | unknown | 1 times |
      | stall                    | repeatable | 504    | unknown | 1 times |
      | truncated body           | repeatable | 502    | unknown | 1 times |
      | wrong content length     | repeatable | 502    | unknown | 1 times |

  Scenario Outline: a repeatable call is retried on another backend server after <fault>
    Given a live cell of one instance with 2 backend servers of 4 slots
    When the fault <fault> is injected into the next call at either backend server
    And a call that is repeatable is made
    Then the response has status 200 and reports Dewspindle-Ran: yes

    Examples:
      | fault                |
      | refusal              |
      | reset mid-request    |
      | reset after request  |
      | malformed response   |
      | truncated body       |
      | wrong content length |

  Scenario: A call to an unknown service is refused and reported as not run
    Given a live cell of one instance with a backend server of 4 slots
    When a call to an unknown service is made
    Then the response has status 503 and reports Dewspindle-Ran: no

  Scenario: Calls in flight never exceed the slots, and waiting calls are served as slots become free
    Given a live cell of one instance with a backend server of 4 slots
    When 20 calls are made at once
    Then each of the 20 calls receives a response with its own path
    And the backend server never had more than 4 calls in flight

  Scenario: A call with an idempotency key runs once, and each resend gets the first response
    Given a live cell of one instance with a backend server of 4 slots
    When a call with an idempotency key is sent 5 times at once
    Then each copy receives the same complete response
    And the backend server has run the call 1 times
    When a call with the same idempotency key and a different body is sent
    Then the response has status 422 and reports Dewspindle-Ran: no

  # The response to the first copy is lost after the call has run, so running the second copy could
  # run the call twice.
  Scenario: A call with an idempotency key whose outcome is unknown is never run again
    Given a live cell of one instance with a backend server of 4 slots
    When the fault reset after request is injected into the next call at the backend server
    And a call with an idempotency key is sent 1 times at once
    And a call with an idempotency key is sent 1 times at once
    Then the response has status 409 and reports Dewspindle-Ran: unknown
    And the backend server has run the call 1 times

  Scenario: A call with an idempotency key that was not run may be sent again
    Given a live cell of one instance with a backend server of 4 slots
    When the fault refusal is injected into the next call at the backend server
    And a call with an idempotency key is sent 1 times at once
    Then the response has status 503 and reports Dewspindle-Ran: no
    When a call with an idempotency key is sent 1 times at once
    Then the response has status 200 and reports Dewspindle-Ran: yes

  # If some way of failing did not release the call's slot, 4 such calls would leave none free. Slots
  # that are kept for a while after an abandoned call are not counted.
  Scenario Outline: no call holds a slot after 10 calls with the fault <fault>
    Given a live cell of one instance with a backend server of 4 slots
    When 10 calls in a row are made with the fault <fault>
    Then no call holds a slot
    And the next call receives a complete response

    Examples:
      | fault                |
      | refusal              |
      | reset mid-request    |
      | reset after request  |
      | stall                |
      | truncated body       |
      | wrong content length |

  Scenario: A backend server that is leaving gets no new calls and finishes those in progress
    Given a live cell of one instance with a backend server of 4 slots
    When a call is in progress and the backend server announces the state leaving
    And a call that is repeatable is made
    Then the response has status 503 and reports Dewspindle-Ran: no
    And the call in progress receives a complete response

  Scenario: A graceful shutdown refuses new calls and interrupts no call in progress
    Given a live cell of one instance with a backend server of 4 slots
    When a call is in progress and the instance begins a graceful shutdown
    Then a new call is refused and reported as not run
    And the call in progress receives a complete response
    And the instance stops

  # Each instance assigns only the slots that the leader has granted to it.
  Scenario: Calls in flight from three instances together never exceed the slots
    Given a live cell of 3 instances with a backend server of 4 slots
    When 30 calls are made at once over all instances
    Then each of the 30 calls receives a response with its own path
    And the backend server never had more than 4 calls in flight

  Scenario: A call with an idempotency key that is resent to different instances runs once
    Given a live cell of 3 instances with a backend server of 4 slots
    When a call with an idempotency key is sent 6 times at once
    Then each copy receives the same complete response
    And the backend server has run the call 1 times

  # A body of more than 256 KiB is streamed to the backend server rather than buffered.
  Scenario: A call with a body that is too large to buffer receives a response
    Given a live cell of one instance with a backend server of 4 slots
    When a call with a body of 600000 bytes is made
    Then the response has status 200 and reports Dewspindle-Ran: yes

  # Sent after its withdrawal, it would block its key for good.
  Scenario: A claim that waits to be sent when its call gives up is never committed
    Given claims whose leader does not answer
    When a second claim times out while the first one is in flight
    Then only the first claim was sent
    And the first claim is withdrawn

  Scenario: A backend server is probed again after a caller disconnected during its probe
    Given a backend server that is ejected and whose ejection has passed
    When the probe ends because its caller disconnects
    Then the backend server gets another probe
