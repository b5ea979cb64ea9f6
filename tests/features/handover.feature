Feature: A planned stop hands over the keys that have ended
  A caller whose answer got lost on its way retries at any other node after the node
  that ran its hold has stopped as planned, and gets the very same answer.

  # The first answer may not have reached the caller. Its retry finds in the log who
  # claimed the key; that node has ended, and its keys are held by another one. Without
  # the hand-over the retry would be told "unknown" of a hold that did run.
  Scenario: A retry after the stop gets the same answer
    Given 3 nodes that stop soon after they are asked to
    When a caller sends a hold with key "k" to node 1
    And node 1 is asked to stop
    Then node 1 ends by itself
    When a caller sends a hold with key "k" to node 2
    Then the last two answers are equal
    When a caller sends a hold with key "k" to node 3
    Then the last two answers are equal
    And the hold "k" ran 1 times

  # Nodes are replaced one after the other. What was handed to a node that stops too is
  # handed on, so the last one left still has the first one's answer.
  Scenario: A retry after a second stop gets the same answer
    Given 3 nodes that stop soon after they are asked to
    When a caller sends a hold with key "k" to node 1
    And node 1 is asked to stop
    Then node 1 ends by itself
    When node 2 is asked to stop
    Then node 2 ends by itself
    When a caller sends a hold with key "k" to node 3
    Then the last two answers are equal
    And the hold "k" ran 1 times

  # The log can't tell who holds the keys of the node that stopped, so its peers have to
  # know it from the node itself.
  Scenario: An issued key is handed over while the log is down
    Given 3 nodes that stop soon after they are asked to
    And node 1 has a witness
    When the log is down
    And a caller sends a hold with a key that node 1 issues
    And node 1 is asked to stop
    Then node 1 ends by itself
    When a caller sends the same hold to node 2
    Then the last two answers are equal
    When a caller sends the same hold to node 3
    Then the last two answers are equal
    And the same hold ran once

  # The log takes requests but answers none of them. A claim sent meanwhile has no
  # result, so its caller must be refused within its deadline, and truthfully: the claim
  # may land later, but is never dispatched. Completions need no claim.
  Scenario: The log gives no answers
    Given 2 nodes that stop soon after they are asked to
    When the log gives no answers any more
    And a caller sends a first try of a hold with key "k" and 2500 ms of patience
    Then the last answer says "not_run"
    When a caller sends a completion to node 1
    Then the answer is whole with status 200
    When the nodes have noticed the outage
    And a caller sends a first try of a hold with key "l" and 2500 ms of patience
    Then the last answer is refused as "log_unavailable" and says "not_run"
    When a caller sends a completion to node 2
    Then the answer is whole with status 200
    When the log gives answers again
    And a caller sends holds with new keys to node 1 until one is answered
    Then the hold "k" ran 0 times
    And the hold "l" ran 0 times
