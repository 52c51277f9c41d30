Feature: A peer server completes requests over real connections

  # A handler that is cancelled between a write to the log and the update of the state in memory would leave
  # the two different.
  Scenario: The server completes a request that its client cancels
    Given a peer server with a handler that waits
    When a client cancels a request while its handler runs
    Then the handler of the cancelled request runs to its end

  # The RPC library answers a cancellation with one of its own, which the task group takes for the end of the task.
  Scenario: A task goes on after a time limit of its own on a request to a silent peer
    Given a peer server with a handler that waits
    When a task of a group sends requests with a time limit while the handler waits
    Then each request ended with a timeout and the task went on

  # Certificates that change while the instance runs close all channels.
  Scenario: A closed channel fails its requests, not the tasks that sent them
    Given a peer server with a handler that waits
    When the client closes its channels while a task of a group waits for an answer
    Then the task was told that the peer is unreachable

  Scenario: A channel that closes before it is connected fails the request as not sent
    Given a client of a peer that does not listen
    When the client closes its channels while a request waits for its connection
    Then the request failed as not sent

  Scenario: The leader replicates again to a replica that was silent for longer than an election timeout
    Given a replica that accepts entries over a real connection, and the leader's link to it
    When the replica stops answering until the leader takes it for unreachable
    And the replica answers again
    Then the leader replicates to it again and logs that it is reachable

  # Entry instances give up an attempt after 0.6 s, which is 40 turns of 15 ms.
  Scenario: Requests that many instances send at once are answered within few turns of a busy event loop
    Given a peer server that answers at once, whose event loop is busy in each turn
    When 30 clients send 4 requests each at the same time
    Then the last one is answered within 40 turns of the loop

  Scenario: A server that stops answers the calls that it has received
    Given a peer server with a handler that waits
    When the server stops while the handler of a call runs
    Then the call was answered

  # What was not sent has surely not run, so that its caller may send it again.
  Scenario: Calls to a silent peer fail as not sent or as unknown, and the next ones use another stream
    Given a stream of calls to a peer that takes one frame and answers nothing
    When a call times out while another waits to be sent
    Then the first one may have run, and the other one was not sent
    And the stream takes no more calls

  Scenario: A call that failed as not sent is not sent by a write that goes on at the same moment
    Given a stream of calls to a peer that takes one frame and answers nothing
    When a call times out just as the frame before it was written
    Then the call failed as not sent, and no frame holds it
