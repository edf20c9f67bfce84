Feature: Entry instances as processes
  Processes are stopped, killed and paused, and connections go silent. An
  incomplete answer never looks complete to the caller.

  Scenario: A graceful stop interrupts no stream
    Given 2 entry processes of the document "kandy"
    When 6 callers stream 40 tokens from process 0
    And process 0 receives SIGTERM
    Then every stream ends with its finish marker
    And process 0 exits with code 0
    And each request ran once
    And a new call to process 1 gets a complete answer

  Scenario: A killed instance leaves no answer that looks complete
    Given 2 entry processes of the document "kandy"
    When 3 callers stream 60 tokens from process 0
    And process 0 is killed
    Then every stream is broken and incomplete
    And a new call to process 1 gets a complete answer

  Scenario: A paused instance continues its streams
    Given 1 entry processes of the document "kandy"
    When 3 callers stream 60 tokens from process 0
    And process 0 is paused for 3 seconds
    Then every stream ends with its finish marker
    And each request ran once

  Scenario: A stream is resumed when its connection goes silent
    Given an engine behind a relay that can silence open connections
    When 3 callers stream 80 tokens from process 0
    And the open connections go silent
    Then every stream ends with its finish marker
    And each request ran once
