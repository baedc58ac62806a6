package org.cornelspoke.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.regex.Pattern;

/** What a command needs to run: its options, the API and the console. */
record Session(CommonOptions options, ApiClient client, Console console, Secrets secrets) {

  private static final Pattern PATH_SEGMENT = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");

  /** Returns the id if it can be a path segment. */
  static String segment(String name, String id) throws CommandException {
    if (id == null || !PATH_SEGMENT.matcher(id).matches()) {
      throw CommandException.usage(name + ": must match " + PATH_SEGMENT + ": " + id);
    }
    return id;
  }

  /** Sends a change with the revision that the operator gave. */
  JsonNode change(String method, String path, JsonNode body) throws CommandException {
    return change(method, path, body, options.revision());
  }

  /** Sends a change that is based on a revision; null for any. */
  JsonNode change(String method, String path, JsonNode body, Long revision)
      throws CommandException {
    return client.change(
        new ApiClient.Call(
            method,
            path,
            Optional.ofNullable(body),
            Optional.of(options.requestId()),
            Optional.ofNullable(revision)));
  }

  /** Returns the revision on which a change of an entity that was read is based. */
  Long basis(JsonNode read) throws CommandException {
    Long given = options.revision();
    return given == null ? Long.valueOf(read.path("configRevision").asLong()) : given;
  }

  /** Prints that a change was accepted. */
  int accepted(JsonNode answer, String what) {
    if (console.json()) {
      console.printJson(answer);
    } else if (answer.has("revision")) {
      console.line(what + " (revision " + answer.path("revision").asText() + ")");
    } else {
      console.line(what);
    }
    return ExitCodes.OK;
  }

  /** Prints a list of an answer. */
  int list(JsonNode answer, String field, String... columns) {
    if (console.json()) {
      console.printJson(answer);
    } else {
      console.table(answer.path(field), columns);
    }
    return ExitCodes.OK;
  }

  /** Returns an entity without the fields that only answers have. */
  static ObjectNode entityOf(JsonNode read) {
    ObjectNode entity = read.deepCopy();
    entity.remove("revision");
    entity.remove("configRevision");
    return entity;
  }
}
