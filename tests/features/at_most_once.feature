Feature: A hold runs at most once
  Whatever fails, the plain service counts at most one execution for each key, and a
  caller that is told "not run" is told the truth.

  Scenario: A retry through another node gets the first answer
    Given a deployment with 3 nodes, 1 engines and 2 service
    When a caller sends a hold with key "k" to node 1
    And a caller sends a hold with key "k" to node 2
    Then the last two answers are equal
    And the hold "k" ran 1 times

  Scenario: A storm of retries over all nodes runs once
    Given a deployment with 3 nodes, 1 engines and 2 service
    When 30 callers send a hold with key "k" over all nodes at once
    Then every answer is the same whole answer
    And the hold "k" ran 1 times

  # The caller's connection breaks with the node. The hold may run at the service for
  # some time yet. The retry goes to another node, which finds the claim of a node that
  # is gone: nobody may take it over, so the truth is "unknown", never a second hold.
  Scenario: The node dies while the hold runs
    Given a deployment with 2 nodes, 1 engines and 1 service
    And the service takes 1500 ms for each call
    When a caller begins a hold with key "k" at node 1
    And the hold "k" has begun to run
    And node 1 is killed
    And a caller sends a hold with key "k" and 3000 ms of patience to node 2
    Then the last answer says "unknown"
    And the hold "k" ran 1 times

  # A node is paused when its claim is on its way to the log. The claim takes effect, and
  # the caller retries elsewhere, where the claim is read. Only its claimer may dispatch:
  # the retry waits, the claimer wakes and runs the hold, and both get its one answer. A
  # node that took the key over from a silent claimer would run it a second time.
  Scenario: The node is paused between claim and dispatch
    Given 2 nodes that wait long for records of the log
    And each answer of the log takes 400 ms
    When a caller begins a hold with key "k" at node 1
    And a claim is on its way to the log
    And node 1 is paused
    And the log has a claim of key "k"
    And a caller begins a hold with key "k" at node 2
    And 1 s pass
    And node 1 goes on
    Then every request ends
    And the hold "k" ran 1 times
    And every answer is the same whole answer

  # The platform appends the claim but the answer never comes. The node reads its own
  # claim back some time later, so the hold runs; treating the append as failed would
  # refuse falsely.
  Scenario: The answer to the claim's append is lost
    Given a deployment with 2 nodes, 1 engines and 1 service
    And the log loses the answers of the next 1 appends
    When a caller sends a hold with key "k" to node 1
    Then the answer is whole with status 200
    And the hold "k" ran 1 times

  # Without the log nobody can tell whose the key is. The caller is told so at once, not
  # after a timeout, and the log is not even asked; completions need no claim and go on;
  # a key that node 1 issued is witnessed by the other node and needs no log either.
  Scenario: The log is down
    Given a deployment with 2 nodes, 1 engines and 1 service
    And node 1 has a witness
    And the log is down
    When a caller sends a first try of a hold with key "k" to node 1
    Then the last answer is refused as "log_unavailable" and says "not_run"
    And the log was not asked to append a claim
    When a caller sends a completion to node 1
    Then the answer is whole with status 200
    When a caller sends a hold with a key issued by node 1 to node 1
    Then the answer is whole with status 200
    When the log is up again
    And a caller sends holds with new keys to node 1 until one is answered
    Then the hold "k" ran 0 times

  # The service executes the hold and dies before its answer. A second try would hold a
  # second seat, so every try is told "unknown".
  Scenario: The service dies after the execution
    Given a deployment with 2 nodes, 1 engines and 1 service
    And the service dies after the next execution
    When a caller sends a hold with key "k" to node 1
    Then the last answer says "unknown"
    When a caller sends a hold with key "k" to node 2
    Then the last answer says "unknown"
    And the hold "k" ran 1 times

  # Connections that were idle in the node's pool are silent for good while new ones
  # work. A call sent on one would get no answer and could not be sent again, so a call
  # that may run once goes out on a new connection and is answered.
  Scenario: Pooled connections to the service go silent
    Given a deployment with 1 nodes, 1 engines and 1 service
    When a caller sends a hold with key "a" to node 1
    And the service's open connections go silent
    And a caller sends a hold with key "b" and 3000 ms of patience to node 1
    Then the answer is whole with status 200
    And the hold "b" ran 1 times

  # The service crosses two answers. The echoed id shows it; the caller never gets the
  # answer that belongs to another request.
  Scenario: The service answers with another request's answer
    Given a deployment with 1 nodes, 1 engines and 1 service
    And the service crosses the next answer
    When a caller sends a hold with key "k" to node 1
    Then the last answer says "unknown"
    And the hold "k" ran 1 times

  # Two customers choose the same key for the same call. By the key alone, the second one
  # would be given the first one's answer, and its own hold would never be made.
  Scenario: Two customers choose the same key
    Given a deployment with 2 nodes, 1 engines and 2 service
    When a caller sends a hold with key "k" to node 1
    Then the last answer is for customer "ferry"
    When a caller of the other customer sends a hold with key "k" to node 2
    Then the last answer is for customer "clinic"
    And the hold "k" ran 2 times
    When a caller of the other customer sends a hold with key "k" to node 1
    Then the last two answers are equal
    When a caller sends a hold with key "k" to node 2
    Then the last answer equals the first
    And the hold "k" ran 2 times
