Feature: The demo
  One command runs a complete deployment on loopback.

  Scenario: The workload runs on both documents
    When the demo runs once
    Then it exits with code 0
    And its last line counts no call as cut off or run twice

  Scenario: The demo serves until it is stopped
    When the demo is started
    Then it prints a URL, a key and three commands
    And it exits with code 0 on SIGTERM
