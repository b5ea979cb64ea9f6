Feature: An accepted configuration never reverts

  # Operators go on patching while nodes die, the log is down and then slow, and at last
  # all nodes die at once. Whoever asks a node must never be shown a lower version than
  # that node, in whatever incarnation, has shown before.
  Scenario: Nodes die and the log fails while patches go on
    Given a deployment with 5 nodes, 1 engines and 1 service
    And the log holds 3000 records of other kinds
    And all nodes' versions are watched
    When operators keep submitting patches
    And 3 more versions are accepted
    And nodes 2 and 3 are killed and started again together
    And the log is down
    And nodes 1 and 4 are killed and started again together
    And the log is up again
    And 3 more versions are accepted
    And the log answers 400 ms late
    And nodes 1 and 5 are killed and started again together
    And 3 more versions are accepted
    And the log answers 0 ms late
    And nodes 1, 2, 3, 4 and 5 are killed and started again together
    And 2 more versions are accepted
    Then every watched node comes to the last accepted version
    And no node showed a lower version
