Feature: What is known of a server ends with its process

  # Guards against calls that are placed by what an earlier process had cached or
  # loaded, where the next one does not state its start.
  Scenario Outline: An entry of another process drops what was known of a server
    Given an engine that states <stated> and is known to hold a part and the weights 7
    When its next entry has <change>
    Then what was known of it is <known>

    Examples:
      | stated     | change              | known   |
      | no start   | another address     | dropped |
      | no start   | another software    | dropped |
      | no start   | another service     | dropped |
      | no start   | a start             | dropped |
      | its start  | another start       | dropped |
      | its start  | no start            | dropped |
      | no start   | the state draining  | kept    |
      | its start  | the state draining  | kept    |
      | no start   | other weights       | kept    |
