Feature: Forwarding of calls to the owner of their key
  An idempotency key names the instance that owns it. Every other instance
  forwards the call to that owner.

  Scenario: A booking is forwarded to the owner of its key and runs once
    Given 2 entry processes of the document "kandy"
    When a caller requests an idempotency key from process 0
    And it books with that key at process 1
    And it books with that key at process 0
    And it books with that key at process 1
    Then the booking 0 has the status 200
    And the booking 1 has the status 409
    And the booking 1 has the verdict "ran"
    And the booking 2 has the status 409
    And the booking 2 has the verdict "ran"
    And 1 booking ran

  Scenario: A stream is relayed from the owner of its key
    Given 2 entry processes of the document "kandy"
    When a caller requests an idempotency key from process 0
    And it streams with that key at process 1
    Then the answer 0 is a complete stream

  Scenario: The owner of a key is dead
    Given 2 entry processes of the document "kandy"
    When a caller requests an idempotency key from process 0
    And it books with that key at process 0
    And process 0 is killed
    And it books with that key at process 1
    Then the booking 0 has the status 200
    And the booking 1 has the status 409
    And the booking 1 has the verdict "may_have_run"
    And 1 booking ran
