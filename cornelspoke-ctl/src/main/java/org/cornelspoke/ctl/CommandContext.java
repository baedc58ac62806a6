package org.cornelspoke.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.regex.Pattern;

/** Collaborators of a command: options, API client, console and secret generator. */
record CommandContext(
    CommonOptions options, ApiClient client, Console console, SecretGenerator secretGenerator) {

  private static final Pattern PATH_SEGMENT = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");

  /** Returns the id, or throws a usage error if it is not a valid path segment. */
  static String requirePathSegment(String name, String id) throws CommandException {
    if (id == null || !PATH_SEGMENT.matcher(id).matches()) {
      throw CommandException.usage(name + ": must match " + PATH_SEGMENT + ": " + id);
    }
    return id;
  }

  /** Sends a change that requires the revision of {@code --revision}, if given. */
  JsonNode submitChange(String method, String path, JsonNode body) throws CommandException {
    return submitChange(method, path, body, options.revision());
  }

  /** Sends a change that requires a configuration revision; null for any. */
  JsonNode submitChange(String method, String path, JsonNode body, Long revision)
      throws CommandException {
    return client.submitChange(
        new ApiClient.ApiRequest(
            method,
            path,
            Optional.ofNullable(body),
            Optional.of(options.requestId()),
            Optional.ofNullable(revision)));
  }

  /** Returns the revision of {@code --revision}, or else the one at which the entity was read. */
  Long baseRevision(JsonNode response) throws CommandException {
    Long requiredRevision = options.revision();
    return requiredRevision == null
        ? Long.valueOf(response.path("configRevision").asLong())
        : requiredRevision;
  }

  /** Prints the response to an accepted change. */
  int printAccepted(JsonNode response, String summary) {
    if (console.isJsonOutput()) {
      console.printJson(response);
    } else if (response.has("revision")) {
      console.printLine(summary + " (revision " + response.path("revision").asText() + ")");
    } else {
      console.printLine(summary);
    }
    return ExitCodes.OK;
  }

  /** Prints a list field of a response as a table. */
  int printList(JsonNode response, String field, String... columns) {
    if (console.isJsonOutput()) {
      console.printJson(response);
    } else {
      console.printTable(response.path(field), columns);
    }
    return ExitCodes.OK;
  }

  /** Returns a copy of the entity without the fields that only responses have. */
  static ObjectNode toEntity(JsonNode response) {
    ObjectNode entity = response.deepCopy();
    entity.remove("revision");
    entity.remove("configRevision");
    return entity;
  }
}
