Feature: Calls that belong to another instance
  A key names the instance that owns it; every other one passes the call on.

  Scenario: A booking reaches the owner of its key and happens once
    Given 2 entry processes of the document "kandy"
    When a caller takes an idempotency key from process 0
    And it books under that key at process 1
    And it books under that key at process 0
    And it books under that key at process 1
    Then the booking 0 has the status 200
    And the booking 1 has the status 409
    And the booking 1 has the verdict "ran"
    And the booking 2 has the status 409
    And the booking 2 has the verdict "ran"
    And 1 booking ran

  Scenario: A stream is passed through from the owner of its key
    Given 2 entry processes of the document "kandy"
    When a caller takes an idempotency key from process 0
    And it streams under that key at process 1
    Then the answer 0 is a whole stream

  Scenario: The owner of a key has died
    Given 2 entry processes of the document "kandy"
    When a caller takes an idempotency key from process 0
    And it books under that key at process 0
    And process 0 is killed
    And it books under that key at process 1
    Then the booking 0 has the status 200
    And the booking 1 has the status 409
    And the booking 1 has the verdict "may_have_run"
    And 1 booking ran
