package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Commands for client keys. */
final class KeyCommands {

  // Leaves room for the suffix within the 63 characters of a key id.
  private static final int MAX_ID_PREFIX = 50;

  private KeyCommands() {}

  @Parameters(
      commandDescription =
          "Give a new key to an account; the key is printed once and can't be read again")
  static final class Give extends Command {

    @Parameter(description = "ACCOUNT", required = true)
    private String account;

    @Parameter(names = "--key-id", description = "Name of the key; default ACCOUNT-RANDOM")
    private String keyId;

    Give(CommonOptions common) {
      super(common);
    }

    @Override
    int run(Session session) throws CommandException {
      String path = "accounts/" + Session.segment("ACCOUNT", account) + "/keys";
      boolean resend = session.options().hasGivenRequestId();
      if (resend && keyId == null) {
        throw CommandException.usage("--request-id needs --key-id, the name of the first attempt");
      }
      String id = keyId == null ? defaultId(session.secrets()) : keyId;
      String key = session.secrets().clientKey();
      String hash = Secrets.hashHex(key);
      ObjectNode body = JsonNodeFactory.instance.objectNode().put("id", id).put("keyHashHex", hash);
      JsonNode answer = session.change("POST", path, body);
      if (resend) {
        checkStoredHash(session, id, hash);
      }
      if (session.console().json()) {
        session
            .console()
            .printJson(((ObjectNode) answer).put("id", id).put("account", account).put("key", key));
        return ExitCodes.OK;
      }
      session.accepted(answer, "key " + id + " given to account " + account);
      session.console().line("The key, shown only now:");
      session.console().line(key);
      return ExitCodes.OK;
    }

    private String defaultId(Secrets secrets) {
      String prefix = account.substring(0, Math.min(account.length(), MAX_ID_PREFIX));
      return prefix + "-" + secrets.idSuffix();
    }

    /** Refuses to print a key that the first request with this id did not give. */
    private void checkStoredHash(Session session, String id, String hash) throws CommandException {
      JsonNode stored =
          session.client().read("keys/" + Session.segment("--key-id", id)).path("keyHashHex");
      if (!stored.asText().equals(hash)) {
        throw new CommandException(
            ExitCodes.REFUSED,
            "key-not-known",
            "the first attempt gave key "
                + id
                + ", whose value is lost; withdraw it and give a new one with a new request id");
      }
    }
  }

  @Parameters(commandDescription = "Withdraw a key; it stops working within seconds")
  static final class Withdraw extends Command {

    @Parameter(description = "KEY-ID", required = true)
    private String keyId;

    Withdraw(CommonOptions common) {
      super(common);
    }

    @Override
    int run(Session session) throws CommandException {
      String path = "keys/" + Session.segment("KEY-ID", keyId);
      return session.accepted(session.change("DELETE", path, null), "key " + keyId + " withdrawn");
    }
  }

  @Parameters(commandDescription = "List the names of keys")
  static final class ListAll extends Command {

    @Parameter(names = "--account", description = "Only the keys of this account")
    private String account;

    ListAll(CommonOptions common) {
      super(common);
    }

    @Override
    int run(Session session) throws CommandException {
      String path =
          account == null ? "keys" : "accounts/" + Session.segment("--account", account) + "/keys";
      return session.list(
          session.client().read(path),
          "keys",
          "KEY",
          "id",
          "ACCOUNT",
          "account",
          "REVISION",
          "revision");
    }
  }
}
