Feature: The demo
  One command shows a whole deployment on loopback.

  Scenario: One workload over both documents
    When the demo runs once
    Then it exits with code 0
    And its last line counts nothing cut off and nothing run twice

  Scenario: The demo serves until it is stopped
    When the demo is started
    Then it prints a URL, a key and three commands
    And it exits with code 0 when it is told to stop
