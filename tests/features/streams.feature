Feature: Streams are complete and in order

  # The engine dies after some tokens. The caller sees one unbroken stream: the node
  # sends prompt and generated text to another engine and goes on numbering.
  Scenario: The engine dies in the middle of a stream
    Given a deployment with 1 nodes, 3 engines and 1 service
    And every engine dies after 25 more events
    When a caller streams 40 tokens from node 1
    Then the stream is whole, numbered and in order
    And the stream has 40 tokens

  Scenario: The connection is cut in the middle of a stream
    Given a deployment with 1 nodes, 1 engines and 1 service
    And every engine cuts the next stream after 10 events
    When a caller streams 40 tokens from node 1
    Then the stream is whole, numbered and in order
    And the stream has 40 tokens

  # Something between node and engine loses track of the open connections: they stay
  # open without a byte. New ones work, so the node resumes there.
  Scenario: The connection goes silent in the middle of a stream
    Given a deployment with 1 nodes, 1 engines and 1 service
    And every engine goes silent after 10 more events
    When a caller streams 40 tokens from node 1
    Then the stream is whole, numbered and in order
    And the stream has 40 tokens

  # A stop is planned while a stream runs and another caller still keeps the address.
  # Both are served to the end; only then does the process end.
  Scenario: A planned stop cuts no request
    Given a deployment with 2 nodes, 2 engines with slow tokens
    When a caller begins to stream 60 tokens from node 1
    And node 1 is asked to stop
    And a caller asks node 2 where to connect until node 1 is not named
    And a caller sends a completion to node 1
    Then the answer is whole with status 200
    And every request ends
    And the first stream is whole, numbered and in order
    And node 1 ends by itself

  Scenario: The caller goes away
    Given a deployment with 1 nodes, 1 engines with slow tokens
    When a caller begins to stream 2000 tokens from node 1 and goes away
    Then an engine is told to cancel

  # Answers get crossed inside the engines: each gives the next caller the answer to
  # somebody else's request. The caller sees its own words, or a refusal.
  Scenario: An engine answers with another request's answer
    Given a deployment with 1 nodes, 2 engines and 1 service
    When a caller sends a completion to node 1
    Then the answer is whole with status 200
    Given every engine crosses the next answer
    When a caller sends a completion to node 1
    Then the caller gets the same text as before, or a refusal
    When a caller sends a completion to node 1
    Then the caller gets the same text as before, or a refusal
