Feature: Instances answer each other over real connections

  Scenario: A request that its client gives up is still carried out whole
    Given a server of requests between instances
    When a client gives up a request that is being carried out
    Then the server carries it out to its end
