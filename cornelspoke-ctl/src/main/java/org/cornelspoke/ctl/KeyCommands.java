package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Commands for client keys. */
final class KeyCommands {

  // A key id has at most 63 characters; this leaves room for the random suffix.
  private static final int MAX_ID_PREFIX_LENGTH = 50;

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
    int run(CommandContext context) throws CommandException {
      String path = "accounts/" + CommandContext.requirePathSegment("ACCOUNT", account) + "/keys";
      boolean isResend = context.options().hasExplicitRequestId();
      if (isResend && keyId == null) {
        throw CommandException.usage("--request-id needs --key-id, the name of the first attempt");
      }
      String id = keyId == null ? generateKeyId(context.secretGenerator()) : keyId;
      String key = context.secretGenerator().generateClientKey();
      String hash = SecretGenerator.sha256Hex(key);
      ObjectNode body = JsonNodeFactory.instance.objectNode().put("id", id).put("keyHashHex", hash);
      JsonNode response = context.submitChange("POST", path, body);
      if (isResend) {
        verifyStoredHash(context, id, hash);
      }
      if (context.console().isJsonOutput()) {
        context
            .console()
            .printJson(
                ((ObjectNode) response).put("id", id).put("account", account).put("key", key));
        return ExitCodes.OK;
      }
      context.printAccepted(response, "key " + id + " given to account " + account);
      context.console().printLine("The key, shown only now:");
      context.console().printLine(key);
      return ExitCodes.OK;
    }

    private String generateKeyId(SecretGenerator secretGenerator) {
      String prefix = account.substring(0, Math.min(account.length(), MAX_ID_PREFIX_LENGTH));
      return prefix + "-" + secretGenerator.generateIdSuffix();
    }

    /** Rejects a key that differs from the one stored by the first request with this request id. */
    private void verifyStoredHash(CommandContext context, String id, String hash)
        throws CommandException {
      JsonNode stored =
          context
              .client()
              .read("keys/" + CommandContext.requirePathSegment("--key-id", id))
              .path("keyHashHex");
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
    int run(CommandContext context) throws CommandException {
      String path = "keys/" + CommandContext.requirePathSegment("KEY-ID", keyId);
      return context.printAccepted(
          context.submitChange("DELETE", path, null), "key " + keyId + " withdrawn");
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
    int run(CommandContext context) throws CommandException {
      String path =
          account == null
              ? "keys"
              : "accounts/" + CommandContext.requirePathSegment("--account", account) + "/keys";
      return context.printList(
          context.client().read(path),
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
