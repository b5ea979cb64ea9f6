Feature: What nodes share

  Scenario: A patch is in force on nine nodes and its rival is refused
    Given a deployment with 9 nodes, 1 engines and 1 service
    When two operators submit patches on version 1 through nodes 1 and 9 at once
    Then one patch made version 2 and the other is refused with version 2
    And every node has version 2

  # The log is down and a node restarts. It must not come back at a lower version, so it
  # takes the configuration from a peer and serves.
  Scenario: A node restarts while the log is down
    Given a deployment with 3 nodes, 1 engines and 1 service
    When an operator submits a patch on version 1 through node 1
    Then every node has version 2
    When the log is down
    And node 2 is killed and started again
    Then every node has version 2
    When a caller sends a completion to node 2
    Then the answer is whole with status 200

  # The append's answer is lost after its effect. The operator is told what the log
  # says, not what the connection said.
  Scenario: The answer to a patch's append is lost
    Given a deployment with 2 nodes, 1 engines and 1 service
    And the log loses the answers of the next 1 appends
    When an operator submits a patch on version 1 through node 1
    Then the patch is accepted as version 2
    And every node has version 2

  Scenario: A leaving endpoint gets no new work
    Given a deployment with 2 nodes, 2 engines and 1 service
    When the VM list calls engine 0 leaving
    Then both nodes soon send nothing more to engine 0

  # The log is slow for a long stretch: each answer takes longer than a node waits for an
  # append. The node waits longer the next time and sends the patch again, under its id.
  Scenario: The log answers more slowly than a node waits
    Given a deployment with 2 nodes, 1 engines and 1 service
    And each answer of the log takes 1500 ms
    When an operator submits a patch on version 1 through node 1
    Then the patch is accepted as version 2
    And every node has version 2

  # The same after a quiet time. A read of a quiet log takes its whole wait and the delay
  # on top. Given up too early each time, the log would count as down for as long as it is
  # slow, and the operator be told that the node can't tell which version is the newest.
  Scenario: The log answers slowly and nothing was written for a while
    Given a deployment with 2 nodes, 1 engines and 1 service
    And each answer of the log takes 1500 ms
    When 12 s pass
    And an operator submits a patch on version 1 through node 1
    Then the patch is accepted as version 2
    And every node has version 2
