Feature: New weights are rolled out by orders

  # An operator asks for other weights while callers are served. One node holds the
  # duty, loads at most two replicas at once, and no request fails meanwhile.
  Scenario: A roll-out under requests
    Given a deployment with 3 nodes, 4 engines and 1 service
    When callers keep sending completions to every node
    And an operator asks for weights "w2" through node 2
    Then every engine loads "w2"
    And no completion failed

  # The duty's holder dies in the middle. Another node takes the duty over with a higher
  # fencing number and brings the roll-out to its end.
  Scenario: The holder of the duty dies during a roll-out
    Given a deployment with 3 nodes, 3 engines and 1 service
    And a node holds the duty
    When the holder of the duty is killed
    And an operator asks for weights "w2" through another node
    Then every engine loads "w2"
