Feature: End-to-end path
  A call is routed from its caller through an entry instance to a target, and
  its answer is streamed back, as configured by one document.

  Scenario: A short prompt is streamed to its end
    Given a deployment of the document "kandy" with 2 instances
    When a caller sends a prompt of 1000 tokens to instance 0 as a stream
    Then the answer ends with its finish marker
    And the engines ran the request once

  Scenario: A booking with one idempotency key runs once
    Given a deployment of the document "kandy" with 2 instances
    When a caller books with the key "table-7" at instance 0
    Then the booking is refused with the verdict "not_run"
    And the refusal offers a key
    When a caller books twice with the offered key at instance 0
    Then the first booking succeeds
    And the second is refused with the verdict "ran"
    And the plain services ran one booking
