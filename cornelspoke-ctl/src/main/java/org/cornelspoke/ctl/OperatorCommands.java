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
    int run(Session session) throws CommandException {
      return session.list(
          session.client().read("operators"),
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
    int run(Session session) throws CommandException {
      String path = "operators/" + Session.segment("OPERATOR", operator);
      String token = tokenHash == null ? session.secrets().operatorToken() : null;
      String hash = tokenHash == null ? Secrets.hashHex(token) : tokenHash;
      ObjectNode body = JsonNodeFactory.instance.objectNode().put("tokenHashHex", hash);
      JsonNode answer = session.change("PUT", path, body);
      if (token == null) {
        return session.accepted(answer, "operator " + operator + " set");
      }
      if (session.options().hasGivenRequestId()) {
        checkToken(session, token);
      }
      if (session.console().json()) {
        session.console().printJson(((ObjectNode) answer).put("token", token));
        return ExitCodes.OK;
      }
      session.accepted(answer, "operator " + operator + " set");
      session.console().line("The token, shown only now:");
      session.console().line(token);
      return ExitCodes.OK;
    }

    /** Refuses to print a token that the first request with this id did not set. */
    private static void checkToken(Session session, String token) throws CommandException {
      try {
        session.client().withToken(token).read("operators");
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
    int run(Session session) throws CommandException {
      String path = "operators/" + Session.segment("OPERATOR", operator);
      return session.accepted(
          session.change("DELETE", path, null), "operator " + operator + " deleted");
    }
  }
}
