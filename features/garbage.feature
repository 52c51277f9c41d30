Feature: Garbage collections seldom stall the event loop

  # A leader keeps some 40,000 new objects a second for a while, and a full collection takes 70 ms.
  Scenario: No full collection stalls a program while it makes 500,000 objects that live on
    Given a program that has limited its collections of garbage
    When it makes 500000 objects that live on
    Then no full collection was made
