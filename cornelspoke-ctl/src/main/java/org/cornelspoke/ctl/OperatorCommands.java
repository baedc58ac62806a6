package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Commands for operators. */
final class OperatorCommands {

  private OperatorCommands() {}

  @Parameters(commandDescription = "List the operators")
  static final class ListAll extends Command {

    ListAll(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      return context.printList(
          context.client().read("operators"),
          "operators",
          "OPERATOR",
          "id",
          "REVISION",
          "revision");
    }
  }

  @Parameters(
      commandDescription =
          "Create an operator or replace its token; a generated token is printed once")
  static final class Set extends Command {

    @Parameter(description = "OPERATOR", required = true)
    private String operator;

    @Parameter(
        names = "--token-hash",
        description = "SHA-256 of an existing token in hexadecimal; nothing is generated")
    private String tokenHash;

    Set(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String path = "operators/" + CommandContext.requirePathSegment("OPERATOR", operator);
      String token = tokenHash == null ? context.secretGenerator().generateOperatorToken() : null;
      String hash = tokenHash == null ? SecretGenerator.sha256Hex(token) : tokenHash;
      ObjectNode body = JsonNodeFactory.instance.objectNode().put("tokenHashHex", hash);
      JsonNode response = context.submitChange("PUT", path, body);
      if (token == null) {
        return context.printAccepted(response, "operator " + operator + " set");
      }
      if (context.options().hasExplicitRequestId()) {
        verifyToken(context, token);
      }
      if (context.console().isJsonOutput()) {
        context.console().printJson(((ObjectNode) response).put("token", token));
        return ExitCodes.OK;
      }
      context.printAccepted(response, "operator " + operator + " set");
      context.console().printLine("The token, shown only now:");
      context.console().printLine(token);
      return ExitCodes.OK;
    }

    /** Rejects a token that differs from the one set by the first request with this request id. */
    private static void verifyToken(CommandContext context, String token) throws CommandException {
      try {
        context.client().withToken(token).read("operators");
      } catch (CommandException e) {
        if (e.exitCode() != ExitCodes.NOT_AUTHORISED) {
          throw e;
        }
        throw new CommandException(
            ExitCodes.REFUSED,
            "token-not-known",
            "the first attempt set a token whose value is lost; set a new one with a new request"
                + " id");
      }
    }
  }

  @Parameters(commandDescription = "Delete an operator; its token stops working")
  static final class Delete extends Command {

    @Parameter(description = "OPERATOR", required = true)
    private String operator;

    Delete(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String path = "operators/" + CommandContext.requirePathSegment("OPERATOR", operator);
      return context.printAccepted(
          context.submitChange("DELETE", path, null), "operator " + operator + " deleted");
    }
  }
}
