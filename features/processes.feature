Feature: Entry instances as processes
  Processes are stopped, killed and paused, and connections go silent;
  no answer that was cut is passed off as whole.

  Scenario: A planned stop cuts off no stream
    Given 2 entry processes of the document "kandy"
    When 6 callers stream 40 tokens from process 0
    And process 0 is told to stop
    Then every stream ends with its finish marker
    And process 0 exits with code 0
    And each request ran once
    And a new call to process 1 is answered whole

  Scenario: A killed instance leaves no answer that looks whole
    Given 2 entry processes of the document "kandy"
    When 3 callers stream 60 tokens from process 0
    And process 0 is killed
    Then no stream is passed off as whole
    And a new call to process 1 is answered whole

  Scenario: A paused instance goes on where it stood
    Given 1 entry processes of the document "kandy"
    When 3 callers stream 60 tokens from process 0
    And process 0 is paused for 3 seconds
    Then every stream ends with its finish marker
    And each request ran once

  Scenario: A stream is taken up again when its connection goes silent
    Given an engine behind a relay that loses track of open connections
    When 3 callers stream 80 tokens from process 0
    And the open connections go silent
    Then every stream ends with its finish marker
    And each request ran once
