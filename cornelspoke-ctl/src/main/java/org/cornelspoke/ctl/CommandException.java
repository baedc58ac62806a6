package org.cornelspoke.ctl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Thrown when a command fails; carries the exit code and the error as JSON. */
final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final int exitCode;
  private final transient ObjectNode json;

  CommandException(int exitCode, String error, String message) {
    this(
        exitCode,
        message,
        JsonNodeFactory.instance.objectNode().put("error", error).put("message", message));
  }

  CommandException(int exitCode, String message, ObjectNode json) {
    super(message);
    this.exitCode = exitCode;
    this.json = json;
  }

  static CommandException usage(String message) {
    return new CommandException(ExitCodes.USAGE, "usage", message);
  }

  int exitCode() {
    return exitCode;
  }

  ObjectNode json() {
    return json;
  }
}
