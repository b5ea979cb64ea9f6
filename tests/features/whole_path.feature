Feature: The whole path
  A caller asks for an address, connects there and is served by separate processes.

  Scenario: A completion, a stream and a service call are served
    Given a deployment with 2 nodes, 3 engines and 1 service
    When a caller asks node 1 where to connect
    Then the answer names a live node, and a key prefix if it is the one asked
    When a caller sends a completion to node 1
    Then the answer is whole with status 200
    When a caller streams 20 tokens from node 2
    Then the stream is whole, numbered and in order
    When a caller sends a hold with key "k1" to node 1
    Then the answer is whole with status 200

  # Four requests with one prompt and three engines: wherever the nodes place them, one
  # at least goes where the prompt was before.
  Scenario: A request that goes where its prompt was before finds it cached
    Given a deployment with 2 nodes, 3 engines and 1 service
    When a caller sends a completion to node 1
    And a caller sends a completion to node 2
    And a caller sends a completion to node 1
    And a caller sends a completion to node 2
    Then each answer from where the prompt was before reports cached tokens

  Scenario: Any node explains a request
    Given a deployment with 2 nodes, 3 engines and 1 service
    When a caller sends a completion to node 1
    Then node 2 explains where it was sent and why

  Scenario: A wrong key is refused
    Given a deployment with 1 nodes, 1 engines and 1 service
    When a caller with a wrong key sends a completion to node 1
    Then the answer is whole with status 401
