Feature: Slots of a backend server are divided fairly and never exceeded, also when the leader changes

  Scenario Outline: <total> slots are divided over demands of <demands>
    Then dividing <total> slots over demands of <demands> gives shares of <shares>

    Examples:
      | total | demands   | shares  |
      | 8     | 2,2,2     | 2,2,2   |
      | 8     | 20,0,0    | 8,0,0   |
      | 8     | 20,1,1    | 6,1,1   |
      | 9     | 9,9,9     | 3,3,3   |
      | 3     | 1,1,9     | 1,1,1   |
      | 0     | 1,1,1     | 0,0,0   |

  # A remainder that always went to the same instances would leave the others without slots on every
  # backend server that has fewer slots than there are instances.
  Scenario Outline: slots left over by an even division go out one each, and not always to the same instances
    Then splitting <total> slots over demands of <demands> gives out all of them in shares that differ by at most 1

    Examples:
      | total | demands |
      | 8     | 9,9,9   |
      | 2     | 1,1,1   |
      | 8     | 1,1,1,1,1,1,1,1,1,1 |

  # An instance may use the slots granted to it until their lease ends, also while it is paused or
  # gets no answer; a leader that grants them to another instance earlier exceeds the slots.
  Scenario Outline: instances may never use more than the slots together when <event>
    Given a leader that divides 8 slots between 3 instances
    When demand shifts between the instances for 200 rounds and <event>
    Then the sum of the slots that the instances may use never exceeded 8
    And every instance that is still alive has used slots since the event

    Examples:
      | event                                      |
      | nothing else happens                       |
      | responses are lost                         |
      | an instance dies                           |
      | an instance pauses                         |
      | the leader changes                         |
      | the leader changes and responses are lost  |
      | the leader changes and an instance dies    |
      | the leader changes after a long election   |
      | the leader changes after a long election and an instance pauses |

  # The new leader learns of the earlier grants from the list of instances, which is too old after a
  # long election. It then granted no returned slot again until all earlier leases had ended, and the
  # calls of an instance without slots were refused with queue-timeout.
  Scenario: Slots returned after a long election are granted again before all earlier leases end
    Given a leader that divides 8 slots between 3 instances
    When the third instance alone gets calls for 2 s after a long election
    Then the third instance has as many slots as the others returned
    And the sum of the slots that the instances may use never exceeded 8
