Feature: The replicated log keeps every acknowledged change under every fault

  Scenario Outline: <fault> while the cell is at <step>
    Given a cell of 3 replicas with a leader and 5 changes
    When <fault> strikes the <victim> at <step>
    And 5 more changes are proposed during 6 seconds
    Then after the fault is over nothing is lost, doubled or taken back

    Examples: election
      | fault             | victim    | step     |
      | kill              | candidate | election |
      | pause             | candidate | election |
      | one-way partition | candidate | election |
      | two-way partition | candidate | election |
      | slow disk         | candidate | election |
      | full disk         | candidate | election |
      | failed sync       | candidate | election |
      | lost answers      | follower  | election |
      | doubled messages  | candidate | election |
      | late messages     | candidate | election |

    Examples: append, the leader struck
      | fault             | victim | step   |
      | kill              | leader | append |
      | pause             | leader | append |
      | one-way partition | leader | append |
      | two-way partition | leader | append |
      | slow disk         | leader | append |
      | full disk         | leader | append |
      | failed sync       | leader | append |
      | lost answers      | leader | append |
      | doubled messages  | leader | append |
      | late messages     | leader | append |

    Examples: append, a follower struck
      | fault             | victim   | step   |
      | kill              | follower | append |
      | pause             | follower | append |
      | one-way partition | follower | append |
      | two-way partition | follower | append |
      | slow disk         | follower | append |
      | full disk         | follower | append |
      | failed sync       | follower | append |
      | lost answers      | follower | append |
      | late messages     | follower | append |

    Examples: commit
      | fault             | victim   | step   |
      | kill              | leader   | commit |
      | pause             | leader   | commit |
      | one-way partition | leader   | commit |
      | two-way partition | leader   | commit |
      | slow disk         | leader   | commit |
      | full disk         | leader   | commit |
      | failed sync       | leader   | commit |
      | lost answers      | follower | commit |
      | doubled messages  | leader   | commit |
      | late messages     | leader   | commit |

    Examples: snapshot install
      | fault             | victim   | step             |
      | kill              | follower | snapshot install |
      | kill              | leader   | snapshot install |
      | pause             | follower | snapshot install |
      | one-way partition | follower | snapshot install |
      | two-way partition | leader   | snapshot install |
      | slow disk         | follower | snapshot install |
      | full disk         | follower | snapshot install |
      | failed sync       | follower | snapshot install |
      | lost answers      | follower | snapshot install |
      | doubled messages  | leader   | snapshot install |
      | late messages     | leader   | snapshot install |

    Examples: change of voters
      | fault             | victim   | step             |
      | kill              | leader   | change of voters |
      | kill              | follower | change of voters |
      | pause             | leader   | change of voters |
      | one-way partition | leader   | change of voters |
      | two-way partition | leader   | change of voters |
      | slow disk         | leader   | change of voters |
      | full disk         | leader   | change of voters |
      | failed sync       | leader   | change of voters |
      | lost answers      | follower | change of voters |
      | doubled messages  | leader   | change of voters |
      | late messages     | leader   | change of voters |

    Examples: handover
      | fault             | victim | step     |
      | kill              | leader | handover |
      | kill              | heir   | handover |
      | pause             | leader | handover |
      | pause             | heir   | handover |
      | one-way partition | leader | handover |
      | two-way partition | heir   | handover |
      | slow disk         | heir   | handover |
      | full disk         | heir   | handover |
      | failed sync       | heir   | handover |
      | lost answers      | heir   | handover |
      | doubled messages  | leader | handover |
      | late messages     | leader | handover |

  Scenario Outline: <fault> of <victim> and of another replica with five, at <step>
    Given a cell of 5 replicas with a leader and 5 changes
    When <fault> strikes the <victim> at <step>
    And <other> strikes another replica
    And 5 more changes are proposed during 6 seconds
    Then the 5 changes are acknowledged
    And after the fault is over nothing is lost, doubled or taken back

    Examples:
      | fault             | victim    | step     | other             |
      | kill              | follower  | append   | kill              |
      | kill              | follower  | append   | two-way partition |
      | pause             | follower  | append   | kill              |
      | two-way partition | follower  | append   | slow disk         |
      | failed sync       | follower  | append   | full disk         |
      | kill              | follower  | commit   | lost answers      |

  Scenario: A second replica is lost right after the first was repaired
    Given a cell of 3 replicas with a leader and 5 changes
    When a follower loses its data folder and is started again
    And it votes again under a new identity
    And another follower is killed
    And 5 more changes are proposed during 6 seconds
    Then the 5 changes are acknowledged
    And after the fault is over nothing is lost, doubled or taken back

  Scenario: A wiped replica never votes under its old identity
    Given a cell of 3 replicas with a leader and 5 changes
    When both followers lose their data folders at once
    And 5 more changes are proposed during 6 seconds
    Then none of the 5 changes is acknowledged

  Scenario: Operators race on one revision and resend
    Given a cell of 3 replicas with a leader and 5 changes
    When 8 operators change one configuration at the same revision, each twice
    Then exactly one of them wins
    And each resend gets the first outcome
    And a resend after a change of leader gets the first outcome

  Scenario: Replicas that start together vote once the last leader's lease is over, and not before
    Given a cell of 3 replicas with a leader and 5 changes
    When every replica is killed and started again
    Then none of them votes until the lease is over, and each does soon after
