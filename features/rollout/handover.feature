Feature: Which router may lead
  The lease goes to a router that reaches the engines, and not round in circles.

  Scenario Outline: When a leader hands over
    Given a router that has led for <led> ms and misses <missed> engines, <due> of them with old weights
    And <peers> peers are alive, of which <fit> miss no engine
    Then it <decides>

    Examples:
      | led   | missed | due | peers | fit | decides    |
      | 5000  | 0      | 0   | 4     | 4   | leads on   |
      | 5000  | 2      | 2   | 4     | 4   | hands over |
      | 5000  | 2      | 0   | 4     | 1   | hands over |
      | 5000  | 2      | 2   | 0     | 0   | leads on   |
      | 5000  | 2      | 2   | 4     | 0   | leads on   |
      | 7000  | 2      | 2   | 4     | 0   | hands over |
      | 60000 | 2      | 0   | 4     | 0   | leads on   |

  Scenario Outline: Who stands for election
    Given a router that has led for 0 ms and misses <missed> engines, 0 of them with old weights
    And 4 peers are alive, of which <fit> miss no engine
    When it handed over <ago> ms ago
    Then it <stands>, and tells peers that it <can> lead

    Examples:
      | missed | fit | ago   | stands          | can    |
      | 0      | 4   | 90000 | stands          | can    |
      | 2      | 1   | 90000 | does not stand  | cannot |
      | 2      | 0   | 90000 | stands          | cannot |
      | 0      | 4   | 3900  | does not stand  | cannot |
      | 0      | 4   | 4000  | stands          | can    |
      | 2      | 0   | 3900  | does not stand  | cannot |

  Scenario Outline: Which engine counts as missed
    Given an engine that does not answer directly from 0 ms to <failed> ms
    And it answers through a peer at "<peer>" ms
    Then at <now> ms the engine is <verdict>

    Examples:
      | failed | peer | now  | verdict    |
      | 1200   | 100  | 1200 | missed     |
      | 700    | 100  | 1200 | not missed |
      | 1200   |      | 1200 | not missed |
      | 4000   | 100  | 4000 | not missed |

  Scenario: An engine that answers directly is not missed any longer
    Given an engine that does not answer directly from 0 ms to 1200 ms
    And it answers through a peer at "100" ms
    When it answers directly
    Then at 1300 ms the engine is not missed

  Scenario: A partition from all of 300 engines is found out with a few
    Then of 300 engines that do not answer, at most 8 are asked within 2 s, each 5 times or less

  # Guards against a lease that goes from one router to the next while each
  # finds out that the same partition cuts it off from the engines.
  Scenario Outline: A router that could take the lease first sees whether it reaches an engine
    Given a router that begins to ask engines whether it reaches them
    And 4 peers are alive, of which 4 miss no engine
    When "<answer>" ms pass until an engine answers, and <passed> ms in all
    Then it <stands>, and tells peers that it <can> lead

    Examples:
      | answer | passed | stands         | can    |
      |        | 0      | does not stand | can    |
      |        | 290    | does not stand | can    |
      |        | 310    | does not stand | cannot |
      |        | 1590   | does not stand | cannot |
      |        | 1610   | stands         | can    |
      | 2      | 3      | stands         | can    |
      | 500    | 501    | stands         | can    |

  Scenario Outline: Engines are asked again only some time after an answer, or without one
    Given a router that begins to ask engines whether it reaches them
    When "<answer>" ms pass until an engine answers, and <passed> ms in all
    Then it asks engines again: <again>

    Examples:
      | answer | passed | again |
      |        | 100    | no    |
      | 2      | 900    | no    |
      | 2      | 1100   | yes   |
      |        | 1700   | no    |
      |        | 5900   | no    |
      |        | 6100   | yes   |
